"""A drain that discovery tells of after its return from an outage, and the sends to the draining engines."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import BROKEN, HELD, TROUBLE, Platform, Traffic, main

OUTAGE = 8.0            # STANDING: `herd+mass`, "discovery is down for 8 s"
TOLD_AFTER = 6.0        # STANDING: "at the latest 6 s after discovery had it and could be reached"
GRACE = 1.0 + 0.05      # `stop_sending_within` of the settings; PROTOCOL: "Each time limit grows by 50 ms."
DRAINED = ["prefill-00", "decode-00"]


def case(folder):
    platform = Platform(folder)
    try:
        platform.engines.tokens, platform.engines.token_time = 10, 0.05
        platform.nodes.wait_until_ready()
        traffic = [Traffic(platform, clients=8), Traffic(platform, clients=4, lane="graded-submit", remaining_ms=6000)]
        discovery, record = platform.discovery, platform.record
        time.sleep(5)
        if TROUBLE:
            discovery.fall_silent()
            time.sleep(OUTAGE)
            discovery.come_back()
        else:
            time.sleep(OUTAGE)
        time.sleep(0.1)
        published = max(discovery.change(engine, "draining") for engine in DRAINED)
        limit = published + TOLD_AFTER + GRACE
        record(f"the drain counts as told at {published + TOLD_AFTER:.3f}, nothing new may be sent after {limit:.3f}")
        # The engines end 1.2 s after nothing new may come to them; what came in time has ended by then.
        time.sleep(limit + 1.2 - record.now())
        for engine in DRAINED:
            platform.engines.end(engine)
        time.sleep(3)
        for clients in traffic:
            clients.stop()
        if platform.nodes.have_crashed():
            return BROKEN, "a node has crashed"
        late = [a for a in platform.engines.arrivals if a[1] in DRAINED and a[0] > limit]
        before = [a for a in platform.engines.arrivals if a[1] in DRAINED and a[0] < published]
        for clients, lane in zip(traffic, ("hint", "graded-submit")):
            record(f"answers to {lane} by status, None for a stream that broke: {clients.counts}")
        if len(before) < 20:
            return 2, "the engines got no requests before the drain"
        for at, engine, txn, _ in late:
            record(f"LATE: {txn} came to the draining {engine} at {at:.3f}")
        if late:
            last = max(at for at, *_ in late)
            broken = sum(count for clients in traffic for status, count in clients.counts.items() if status != 200)
            return BROKEN, (f"{len(late)} requests came to draining engines after the grace, the last "
                            f"{last - limit:.2f} s after it; {broken} requests had no good answer")
        return HELD, "no request came to a draining engine after the grace"
    finally:
        platform.stop()


main(case)
