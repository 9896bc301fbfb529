"""BUDGET: a gateway that was killed and started again sends a request on that is known to crash servers.

One path crashes each server that runs it; callers send it again and again to all gateways. After three crashes the
gateways block it. Then the process of one gateway is killed, and it starts again. The servers log what reaches them."""

import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from harness import ZONES, CannotRun, configuration, route, run_case, service  # noqa: E402

SERVERS = 8
STABLE_S = 3.0
RETRIES_MAX = 3
# Three liveness report intervals (`heartbeat` is 870 ms), after which the store removes the entry of a crashed server.
ENTRY_EXPIRY_S = 2.6
# Time for which a crashed server is gone.
SERVER_RESTART_S = 3.0
POISON_PERIOD_S = 0.7


class Servers:
    """Servers that end when they run the request, and come back with a new id some seconds later."""

    def __init__(self, deployment):
        self.deployment, self.count, self.over = deployment, 0, threading.Event()
        self.running = {}
        for number in range(SERVERS):
            self.add(ZONES[number % len(ZONES)])
        self.thread = threading.Thread(target=self.replace)
        self.thread.start()

    def add(self, zone):
        self.count += 1
        name = f"renovaciones-{self.count}"
        flags = ("--crash", "exit", "--work-ms", "20")
        process, _ = self.deployment.start_server(name, "renovaciones", zone, *flags)
        self.running[name] = [process, zone, None, True]

    def replace(self):
        while not self.over.is_set():
            for name, entry in list(self.running.items()):
                process, zone, ended, is_listed = entry
                if process.poll() is None:
                    continue
                if ended is None:
                    entry[2] = time.time()
                    self.deployment.record(f"server {name} has crashed")
                elif is_listed and time.time() > ended + ENTRY_EXPIRY_S:
                    self.deployment.remove_entry(name)
                    entry[3] = False
                elif time.time() > ended + SERVER_RESTART_S:
                    del self.running[name]
                    self.add(zone)
            time.sleep(0.05)


def arrivals(deployment):
    """Returns when the request reached servers: Unix seconds, server and request id."""
    rows = [(at / 1000, server, value[0]) for at, server, name, value in deployment.read_events() if name == "run"]
    return sorted(row for row in rows if row[2].startswith("poison"))


def third_crash(rows):
    crashed = []
    for at, server, _ in rows:
        crashed += [server] if server not in crashed else []
        if len(crashed) == 3:
            return at
    return None


def play(deployment, trouble):
    deployment.start_store()
    deployment.publish(configuration([route("flotas", "renovaciones")], [service("renovaciones")]))
    servers = Servers(deployment)
    over = threading.Event()
    served, sent, callers = [0], [0], []

    def send_load(name):
        number = 0
        while not over.is_set():
            number += 1
            answer = deployment.call(name, "GET", "/flotas/7", f"load-{name}-{number}")
            served[0] += answer.status == 200
            time.sleep(0.05)

    def send_poison(names, seconds):
        end = time.time() + seconds
        while time.time() < end:
            sent[0] += 1
            name = names[sent[0] % len(names)]
            callers.append(threading.Thread(target=deployment.call, args=(name, "GET", "/flotas/crash",
                                                                          f"poison-{sent[0]}-{name}")))
            callers[-1].start()
            time.sleep(POISON_PERIOD_S)

    try:
        for name, zone in zip(("front-1", "front-2", "front-3"), ZONES):
            deployment.add_gateway(name, zone)
        deployment.wait_ready()
        names = list(deployment.gateways)
        callers += [threading.Thread(target=send_load, args=(name,)) for name in names]
        for thread in callers:
            thread.start()
        time.sleep(2)
        send_poison(names, 11)
        rows = arrivals(deployment)
        third = third_crash(rows)
        if third is None:
            raise CannotRun("fewer than three servers crashed")
        # The gateway that has sent the blocked request again to see whether servers still crash; any one without.
        late = [row for row in rows if row[0] > third + STABLE_S]
        killed = late[-1][2].split("-", 2)[2] if late else names[0]
        if trouble:
            deployment.kill_gateway(killed)
            time.sleep(0.3)
            deployment.start_gateway(killed)
            deployment.wait_ready([killed])
        # Nothing is sent to the killed gateway until it is in touch again.
        send_poison([name for name in names if name != killed], STABLE_S + 0.7)
        send_poison(names, 45)
    finally:
        over.set()
        for thread in callers:
            thread.join()
        servers.over.set()
        servers.thread.join()
    rows = arrivals(deployment)
    for at, server, request in rows:
        deployment.record(f"{request} reached {server} at {at - deployment.start:.3f}")
    late = [row for row in rows if row[0] > third + STABLE_S]
    retries = len({request for _, _, request in late})
    deployment.record(f"third crash at {third - deployment.start:.3f}; later than {STABLE_S} s after it the request "
                      f"reached servers {len(late)} times in {retries} retries, {RETRIES_MAX} are allowed; "
                      f"{served[0]} other requests were served, {servers.count - SERVERS} servers replaced")
    print(f"{len(late)} arrivals in {retries} retries after the third crash")
    return retries > RETRIES_MAX


run_case(CASE, play)
