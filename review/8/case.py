"""A request that was answered before crashes its replicas.

One device sends the same request every five seconds. The first one is answered;
from then on it crashes each replica that begins to run it.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import crashing  # noqa: E402

SENDS = 12
PERIOD_S = 5.0


async def play(world):
    if await world.send(0, crashing.POISON) != 200:
        return 2
    world.runs.clear()
    world.begin_to_crash()
    for n in range(SENDS):
        await asyncio.sleep(PERIOD_S)
        await world.send(n, crashing.POISON)
    return world.judge(SENDS)


crashing.main(crashing.World(HERE, replicas=8, crash="none"), play)
