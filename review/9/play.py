import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
sys.dont_write_bytecode = True

from kit import has_trouble, run
from poison import Play

REPLACEMENT_S = 2.0


async def play_async(platform, record):
    play = Play(platform, record, "/padrones/poison-2")
    await play.start([(f"front-{zone}-1", f"zone-{zone}") for zone in "abc"])
    await asyncio.sleep(4)
    if has_trouble():
        for zone in "abc":
            gone = play.gateways.pop(0)
            gone.process.kill()
            gone.process.wait()
            record.write(f"{gone.name} is gone for good")
            await asyncio.sleep(REPLACEMENT_S)
            await play.add_gateway(f"front-{zone}-2", f"zone-{zone}")
            await asyncio.sleep(4)
    await play.send_for(11)
    return await play.judge()


run(FOLDER, lambda platform, record: asyncio.run(play_async(platform, record)))
