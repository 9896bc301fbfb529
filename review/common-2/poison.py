"""A request that crashes each server that begins to run it, and whose caller sends it again."""
import asyncio
import time

from kit import CannotRun, append_record, configuration, route, service
from servers import COLD_S, Caller, Server

BACK_S = 2.0
EXPIRY_S = 2.7
IN_TOUCH_S = 3.0
PERIOD_S = 4.0
RETRIES_MAX = 3


class FragileServer(Server):
    """A server that ends when it begins to run a request whose path contains `poison`; it is back after two seconds as a
    new boot with a new id. Its old entry is removed after three heartbeats of silence."""

    boots = 0

    async def start(self):
        self.writers, self.leases = set(), []
        FragileServer.boots += 1
        self.name = f"i-{FragileServer.boots}"
        self.born, self.sequence = int(time.time() * 1000), 0
        await super().start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def work(self, request):
        if "poison" in request.path:
            others = [name for name in self.running if name != request.id]
            self.on_crash(self, request, others)
            self.crash()
            raise ConnectionResetError
        await super().work(request)

    def crash(self):
        self.listener.close()
        self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self.come_back(self.name))

    async def come_back(self, old_name):
        await asyncio.sleep(BACK_S)
        self.cold_until = time.monotonic() + COLD_S
        await self.start()
        await asyncio.sleep(EXPIRY_S - BACK_S)
        await asyncio.to_thread(append_record, self.store, "keyed.servers", old_name, b"")


class Play:
    """Servers, gateways, ordinary load, and the caller that sends the poisonous request every few seconds."""

    def __init__(self, platform, record, path):
        self.platform, self.record, self.path = platform, record, path
        self.crashes, self.lost, self.in_touch_since = [], set(), {}
        self.gateways = []
        self.count = 0
        self.stopped = False

    async def start(self, gateways):
        platform = self.platform
        platform.start_store()
        platform.append("keyed.op", "config", configuration(1, [
            route("padrones", "/padrones/", "padrones"), route("renovaciones", "/pagos/", "padrones", kind="unsafe"),
        ], [service("padrones")]))
        self.servers = [FragileServer(self.record, platform.store, "", "padrones", f"zone-{zone}", work_s=0.05)
                        for zone in "abcabc"]
        for server in self.servers:
            server.on_crash = self.record_crash
            await server.start()
        for name, zone in gateways:
            await self.add_gateway(name, zone)
        self.loads = [asyncio.create_task(self.load(number)) for number in range(4)]

    async def add_gateway(self, name, zone):
        gateway = self.platform.start_gateway(name, zone)
        self.gateways.append(gateway)
        await self.wait_ready(gateway)

    async def wait_ready(self, gateway):
        end = time.monotonic() + 15
        while not await asyncio.to_thread(gateway.is_ready):
            if time.monotonic() > end:
                raise CannotRun(f"{gateway.name} isn't ready within 15 s")
            await asyncio.sleep(0.05)
        self.in_touch_since[gateway.name] = time.monotonic() + IN_TOUCH_S
        self.record.write(f"{gateway.name} is ready")

    def record_crash(self, server, request, others):
        now = time.monotonic()
        self.crashes.append((now, self.sender))
        self.lost.update(others)
        self.record.write(f"{server.name} runs {request.id}, passed on by {self.sender}, and crashes (crash {len(self.crashes)}); "
                          f"requests of others lost at it: {', '.join(others) or 'none'}")

    async def load(self, number):
        """Ordinary payments, some of which run at a server when it crashes."""
        caller, count = Caller(self.record, []), 0
        while not self.stopped:
            count += 1
            gateways = self.gateways
            if gateways:
                gateway = gateways[(number + count) % len(gateways)]
                await caller.call("POST", "/pagos/1", f"pay-{number}-{count}", gateway=gateway)
            await asyncio.sleep(0.05)

    async def send_poison(self):
        """Sends the request once, with an id of its own, to the next gateway in turn."""
        gateway = self.gateways[self.count % len(self.gateways)]
        self.count += 1
        self.sender = gateway.name
        request_id = f"poison-{self.count}"
        self.record.write(f"caller sends {request_id} ({self.path}) to {gateway.name}")
        status, _ = await Caller(self.record, []).call("GET", self.path, request_id, gateway=gateway)
        self.record.write(f"caller gets {status or 'no answer'} for {request_id}")

    async def send_for(self, rounds):
        for _ in range(rounds):
            begin = time.monotonic()
            await self.send_poison()
            await asyncio.sleep(max(0.0, begin + PERIOD_S - time.monotonic()))

    async def judge(self):
        """Counts what reached servers, from machines in touch, later than the stable window after the third crash."""
        self.stopped = True
        await asyncio.gather(*self.loads)
        if not self.crashes:
            return None
        if len(self.crashes) < 3:
            raise CannotRun("the request crashed fewer than three servers")
        start = self.crashes[2][0] + IN_TOUCH_S
        late = [at for at, sender in self.crashes if at > start and at >= self.in_touch_since[sender]]
        self.record.write(f"{len(self.crashes)} servers crashed; {len(late)} times the request reached a server from a machine in "
                          f"touch later than {IN_TOUCH_S:.0f} s after the third crash; {len(self.lost)} requests of others were lost")
        if len(late) > RETRIES_MAX:
            return f"the request reached servers {len(late)} times after it had crashed the third, {RETRIES_MAX} are allowed"
        return None
