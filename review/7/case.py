import os, socket, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from stand import *

CLIENTS = 5
LATEST = 0.1  # An attempt that begins later than this after the close is a lost request.


def send_and_go(record, listen, client, flood):
    """Sends a request and, with `flood`, many more behind it, all at once; closes when the connection takes no more.
    Returns the time of the close."""
    host, port = listen.rsplit(":", 1)
    maker = Client(record, listen)
    first = maker.request(f"c{client:03x}f000", "graded-submit", 6000, session=f"{client:x}")
    with socket.create_connection((host, int(port))) as held:
        held.setblocking(False)
        held.send(first)
        sent, full_since, number = len(first), None, 0
        rest = b""
        while flood and (full_since is None or now() - full_since < 0.03):
            if not rest:
                number += 1
                rest = maker.request(f"c{client:03x}b{number:03x}", "graded-submit", 6000, session=f"{client:x}", size=240_000)
            try:
                count = held.send(rest)
                rest, sent, full_since = rest[count:], sent + count, None
            except BlockingIOError:
                full_since = full_since if full_since is not None else now()
                time.sleep(0.001)
    closed = now()
    record.add(f"client {client} sent {sent} bytes, {number} requests behind the first, and closed")
    return closed


async def case(record, trouble, nodes):
    fleet = Fleet(record)
    agent = await Discovery(record).start()
    engines = [await Engine(fleet, f"r{n}", "read", read_s=0.5).start() for n in range(2)]
    engines += [await Engine(fleet, f"w{n}", "write").start() for n in range(2)]
    agent.set(*engines)
    node = Node(record, memory_mb=32, sockets=256)
    nodes.append(node)
    node.write_config(agent.address, agent.full())
    node.start()
    await node.ready()
    # A good client before and after: the node serves.
    good = Client(record, node.listen)
    if (await good.ask("a000")).end != "served":
        raise CannotRun("the node does not serve")
    closes = {}
    for client in range(CLIENTS):
        closes[client] = await asyncio.to_thread(send_and_go, record, node.listen, client, trouble)
        await asyncio.sleep(3.0)
    after = await good.ask("a001")
    late = []
    for engine in engines:
        for at, txn in engine.arrivals:
            if txn.startswith("c") and at > closes[int(txn[1:4], 16)] + LATEST:
                late.append(f"{txn} at {engine.name} {at - closes[int(txn[1:4], 16)]:.3f} s after the close")
    for line in late:
        record.add("late attempt: " + line)
    return bool(late), f"{len(late)} attempts began over {LATEST} s after their client's close {late[:3]}; then {after.end}"


main(case, os.path.dirname(os.path.abspath(__file__)))
