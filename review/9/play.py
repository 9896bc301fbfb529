import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
sys.dont_write_bytecode = True

from kit import has_trouble, run
from poison import Play

DOWN_S = 1.0


async def play_async(platform, record):
    play = Play(platform, record, "/padrones/poison-7")
    await play.start([(f"front-{zone}-1", f"zone-{zone}") for zone in "abc"])
    await asyncio.sleep(4)
    await play.send_for(4)
    if has_trouble():
        record.write("all gateways are killed at once")
        for gateway in play.gateways:
            gateway.process.kill()
            gateway.process.wait()
        await asyncio.sleep(DOWN_S)
        for gateway in play.gateways:
            platform.restart_gateway(gateway)
        for gateway in play.gateways:
            await play.wait_ready(gateway)
    await asyncio.sleep(4)
    await play.send_for(10)
    return await play.judge()


run(FOLDER, lambda platform, record: asyncio.run(play_async(platform, record)))
