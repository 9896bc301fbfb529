"""Stand-ins for servers and callers, run by the event loop of a script."""
import asyncio
import json
import time

from kit import HEARTBEAT_S, append_record, server_entry

REASONS = {200: "OK", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable", 504: "Gateway Timeout"}


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


COLD_S = 3.0


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    @property
    def id(self):
        return self.headers.get("x-ragworthub-request-id", "")


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return Request(method, path, headers, body)


class Lease:
    def __init__(self, first, last, fence, expiry):
        self.first, self.last, self.fence, self.expiry = first, last, fence, expiry


class Server:
    """A server as the protocol page tells: it registers itself, runs requests, and holds keys if it is divided by key."""

    def __init__(self, record, store, name, service, zone, work_s=0.02, slots=4, sharded=False):
        self.record, self.store, self.name, self.service, self.zone = record, store, name, service, zone
        self.work_s, self.slots, self.sharded = work_s, slots, sharded
        self.born = int(time.time() * 1000)
        self.state, self.sequence, self.cold_until = "ready", 0, 0.0
        self.leases, self.running, self.waiting = [], {}, 0
        self.answers = 0
        self.semaphore = asyncio.Semaphore(slots)
        self.on_run = self.on_grant = self.on_release = lambda *_: None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.announce())

    def cold_ms(self):
        """Returns how long the server stays cold: a server that starts during traffic is cold for some seconds."""
        return max(0.0, self.cold_until - time.monotonic()) * 1000

    async def write_entry(self):
        self.sequence += 1
        cold_left = f"{self.cold_ms():.0f}ms"
        entry = server_entry(self.service, self.port, self.zone, self.sequence, self.born, self.state, self.slots, cold_left)
        try:
            await asyncio.to_thread(append_record, self.store, "keyed.servers", self.name, entry)
        except OSError:
            pass

    async def announce(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def holds(self, key):
        now = time.monotonic()
        return any(lease.first <= key <= lease.last and lease.expiry > now for lease in self.leases)

    def grant(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        overlapping = [lease for lease in self.leases if lease.first <= last and first <= lease.last]
        if any(lease.fence > fence for lease in overlapping):
            return 409
        self.cut(first, last)
        expiry = time.monotonic() + float(order["hold_time"].removesuffix("ms")) / 1000
        self.leases.append(Lease(first, last, fence, expiry))
        self.on_grant(self, first, last, fence, expiry)
        return 200

    def cut(self, first, last):
        """Takes a range out of all leases."""
        kept = []
        for lease in self.leases:
            if lease.last < first or last < lease.first:
                kept.append(lease)
                continue
            if lease.first < first:
                kept.append(Lease(lease.first, first - 1, lease.fence, lease.expiry))
            if lease.last > last:
                kept.append(Lease(last + 1, lease.last, lease.fence, lease.expiry))
        self.leases = kept

    async def release(self, order):
        """Stops new work on the keys at once, and returns when the work that runs on them has ended."""
        first, last = order["from"], order["target"]
        overlapping = [lease for lease in self.leases if lease.first <= last and first <= lease.last]
        fence = max([order["fence"]] + [lease.fence for lease in overlapping])
        self.on_release(self, first, last, order["fence"])
        self.cut(first, last)
        self.leases.append(Lease(first, last, fence, 0))
        while any(first <= key <= last for key, _ in self.running.values() if key is not None):
            await asyncio.sleep(0.005)

    def headers(self, request):
        headers = [("X-Ragworthub-Instance-Id", self.name),
                   ("X-Ragworthub-Server-Load", f"{len(self.running)},{self.waiting},{self.slots}")]
        if request.path == "/health" and self.cold_ms() > 0:
            headers.append(("X-Ragworthub-Cold-Ms", f"{self.cold_ms():.0f}"))
        if request.id:
            headers.append(("X-Ragworthub-Request-Id", request.id))
        return headers

    async def serve(self, reader, writer):
        connection = {"last": b"", "last_path": ""}
        try:
            while True:
                request = await read_request(reader)
                await self.before_answer(request, writer, connection)
                answer = await self.answer(request)
                if answer is None:
                    break
                self.answers += 1
                connection["last"], connection["last_path"] = answer, request.path
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def before_answer(self, request, writer, connection):
        """Does nothing here; a server that misbehaves writes bytes of its own."""

    async def answer(self, request):
        headers = self.headers(request)
        refused = headers + [("X-Ragworthub-Not-Executed", "1")]
        expected = request.headers.get("x-ragworthub-expected-instance", self.name)
        if expected != self.name:
            return answer_bytes(421, refused)
        if request.path == "/health":
            return answer_bytes(200 if self.state == "ready" else 503, headers)
        if request.path == "/grant":
            return answer_bytes(self.grant(json.loads(request.body)), headers)
        if request.path == "/release":
            await self.release(json.loads(request.body))
            return answer_bytes(200, headers + [("X-Ragworthub-Handover", f"{self.name}-{self.answers}")])
        key = request.headers.get("x-ragworthub-shard-key")
        key = int(key) if key is not None else None
        if self.sharded and (key is None or not self.holds(key)):
            return answer_bytes(421, refused)
        self.waiting += 1
        async with self.semaphore:
            self.waiting -= 1
            if self.sharded and not self.holds(key):
                return answer_bytes(421, refused)
            self.running[request.id] = (key if self.sharded else None, time.monotonic())
            self.on_run(self, request, key, True)
            try:
                await self.work(request)
            finally:
                del self.running[request.id]
                self.on_run(self, request, key, False)
        return answer_bytes(200, headers + [("X-Ragworthub-Response-Signature", f"{self.name}.{request.id}")],
                            f"{self.name} ran {request.id}".encode())

    async def work(self, request):
        await asyncio.sleep(self.work_s)


class Caller:
    """Sends one request on a new connection and waits for its answer."""

    def __init__(self, record, gateways):
        self.record, self.gateways, self.next = record, gateways, 0

    async def call(self, method, path, request_id, key=None, deadline_ms=2000, body=b"", gateway=None,
                   source="127.0.0.1"):
        if gateway is None:
            gateway = self.gateways[self.next % len(self.gateways)]
            self.next += 1
        lines = [f"{method} {path} HTTP/1.1", "Host: licencias.example", f"X-Ragworthub-Request-Id: {request_id}",
                 f"X-Ragworthub-Deadline-Ms: {deadline_ms}", "Connection: close"]
        if key is not None:
            lines.append(f"X-Ragworthub-Shard-Key: {key}")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", gateway.port, local_addr=(source, 0)), 1)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            data = await asyncio.wait_for(reader.read(-1), deadline_ms / 1000 + 0.5)
            head = data.split(b"\r\n\r\n", 1)[0].decode("latin-1").split("\r\n")
            return int(head[0].split()[1]), data
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, b""
        finally:
            if writer:
                writer.close()
