"""A request makes its replicas go dark, and its deadline passes before that shows.

One device sends the same request every five seconds. Each replica that runs it
falls silent, and is back, under a new id, after four seconds.

With TROUBLE=0 (read by `crashing`) the same requests crash nothing.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import crashing  # noqa: E402

SENDS = 14
PERIOD_S = 5.0


async def play(world):
    for n in range(SENDS):
        await world.send(n, crashing.POISON)
        await asyncio.sleep(PERIOD_S)
    return world.judge(SENDS)


crashing.main(crashing.World(HERE, replicas=8, crash="dark", back_s=4.0), play)
