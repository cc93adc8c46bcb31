import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from cold import *


async def case(record, trouble, nodes):
    # The disruption: the clocks of the nodes' machines were stepped forward by some seconds before the nodes started.
    return await play(record, nodes, clock_ahead_s=13.5 if trouble else 0.0, writers=[(10, 1.0)] * 3, newcomer=(10, 1.0),
                      rate=27, quiet_s=20.0, tokens=10, gap_s=1.0)


main(case, os.path.dirname(os.path.abspath(__file__)))
