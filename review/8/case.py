"""A request that crashes its replicas comes again in several copies at a time.

Six devices of one caller send the same request (same path, caller and body)
every six seconds, to three gateways.

With TROUBLE=0 (read by `crashing`) the same requests crash nothing.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import crashing  # noqa: E402

DEVICES = 6
WAVES = 5
PERIOD_S = 6.0


async def play(world):
    for _ in range(WAVES):
        copies = [world.send(n, crashing.POISON) for n in range(DEVICES)]
        await asyncio.gather(*copies)
        await asyncio.sleep(PERIOD_S)
    return world.judge(WAVES * DEVICES)


crashing.main(crashing.World(HERE, replicas=8), play)
