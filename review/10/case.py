import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from cold import *


async def case(record, trouble, nodes):
    # The disruption: the clocks of the nodes' machines were stepped forward by an hour before the nodes started.
    return await play(record, nodes, clock_ahead_s=3600.0 if trouble else 0.0, writers=[(100, 1.0)] * 2, newcomer=(100, 1.0),
                      rate=275, quiet_s=0, tokens=2, gap_s=0.5, cold_from=0.15)


main(case, os.path.dirname(os.path.abspath(__file__)))
