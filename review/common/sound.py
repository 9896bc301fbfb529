"""Stand-ins in the script's own process: a server that may be cold, and a link to the store that loses answers."""

import http.client
import json
import socket
import threading
import time


def append(store, topic, key, value):
    """Appends one record to a keyed topic of the store; an empty value removes the key."""
    name = key.encode()
    record = len(name).to_bytes(1, "big") + name + value
    host, port = store.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
    connection.request("POST", f"/log-append?topic={topic}&part=0", len(record).to_bytes(4, "big") + record)
    connection.getresponse().read()
    connection.close()


def read_message(stream):
    """Reads a request or a response with a length. Returns its first line, headers and bytes, or `None` at the end."""
    first = stream.readline()
    if not first:
        return None
    head, headers = first, {}
    while True:
        line = stream.readline()
        if not line:
            return None
        head += line
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None
    return first.decode("latin-1").strip(), headers, head, body


class Listener:
    """Accepts connections on a loopback address and handles each in a thread until it is closed."""

    def __init__(self):
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.is_closed = False
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.is_closed:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self.guard, args=(connection,), daemon=True).start()

    def guard(self, connection):
        try:
            self.handle(connection)
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    def close(self):
        self.is_closed = True
        self.socket.close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class LateStore(Listener):
    """Forwards calls to the store, except those that `is_late` selects: these get no answer and are done later."""

    def __init__(self, store, is_late, delay_s):
        self.store, self.is_late, self.delay_s = store, is_late, delay_s
        self.calls = self.late = 0
        super().__init__()

    def handle(self, connection):
        host, port = self.store.split(":")
        stream = connection.makefile("rb")
        with socket.create_connection((host, int(port)), timeout=5.0) as target:
            answers = target.makefile("rb")
            while True:
                message = read_message(stream)
                if message is None:
                    return
                first, _, head, body = message
                self.calls += 1
                if self.is_late(first, body):
                    self.late += 1
                    threading.Timer(self.delay_s, self.send_late, args=(head + body,)).start()
                    # Nothing more is returned on this connection.
                    stream.read()
                    return
                target.sendall(head + body)
                answer = read_message(answers)
                if answer is None:
                    return
                connection.sendall(answer[2] + answer[3])

    def send_late(self, call):
        host, port = self.store.split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=5.0) as target:
                target.sendall(call)
                read_message(target.makefile("rb"))
        except OSError:
            pass


class Server(Listener):
    """A server of a service that isn't divided by key. It reports to the store, and is cold for a time if asked."""

    HEARTBEAT_S = 0.87

    def __init__(self, store, name, service, zone, slots, work_s, cold_s=0.0, crash_per_s=None):
        """`crash_per_s`: arrivals within a second above which the server ends while it is cold."""
        self.crash_per_s, self.has_crashed = crash_per_s, False
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.semaphore = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.running = self.waiting = 0
        self.born = int(time.time() * 1000)
        self.cold_until = time.time() + cold_s
        # Unix times of the requests that arrived while the server was cold.
        self.cold_arrivals = []
        # Ids of the requests that began to run, and of those that were answered.
        self.ran, self.answered = [], []
        super().__init__()
        threading.Thread(target=self.report, daemon=True).start()

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.time()) * 1000))

    def report(self):
        sequence = 0
        while not self.is_closed:
            sequence += 1
            entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                     "slots": self.slots, "state": "ready", "cold_left": f"{self.cold_left_ms()}ms", "seq": sequence,
                     "born": self.born}
            try:
                append(self.store, "keyed.servers", self.name, json.dumps(entry).encode())
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(self.HEARTBEAT_S)

    def handle(self, connection):
        stream = connection.makefile("rb")
        while True:
            message = read_message(stream)
            if message is None:
                return
            connection.sendall(self.respond(*message[:2]))

    def answer(self, status, request, headers, body=b""):
        load = f"{self.running},{self.waiting},{self.slots},100"
        lines = [f"HTTP/1.1 {status}", f"X-Ragworthub-Instance-Id: {self.name}", f"X-Ragworthub-Server-Load: {load}",
                 f"Content-Length: {len(body)}"] + headers
        if request:
            lines.append(f"X-Ragworthub-Request-Id: {request}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def respond(self, first, headers):
        request = headers.get("x-ragworthub-request-id", "")
        if first.startswith("GET /health"):
            return self.answer("200 OK", "", [f"X-Ragworthub-Cold-Ms: {self.cold_left_ms()}"])
        if headers.get("x-ragworthub-expected-instance", self.name) != self.name:
            return self.answer("421 Misdirected Request", request, ["X-Ragworthub-Not-Executed: 1"])
        now = time.time()
        with self.lock:
            if now < self.cold_until:
                self.cold_arrivals.append(now)
            recent = sum(1 for at in self.cold_arrivals if at > now - 1.0)
            self.waiting += 1
        if self.crash_per_s is not None and now < self.cold_until and recent > self.crash_per_s:
            self.has_crashed = True
            self.close()
        deadline_s = int(headers.get("x-ragworthub-deadline-ms", "2000")) / 1000
        is_running = self.semaphore.acquire(timeout=deadline_s)
        with self.lock:
            self.waiting -= 1
            self.running += is_running
        if not is_running or self.has_crashed:
            return self.answer("503 Service Unavailable", request, ["X-Ragworthub-Not-Executed: 1"])
        self.ran.append(request)
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        self.semaphore.release()
        if not self.has_crashed:
            self.answered.append(request)
        return self.answer("200 OK", request, ["X-Ragworthub-Response-Signature: standin"], b"done")
