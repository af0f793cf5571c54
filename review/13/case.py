"""A request that crashes its replicas comes again while the daemons are restarted in turn."""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import http11
from case import main, until
from daemons import BOUNDS, Daemon, free_ips
from replicas import Replica
from store import OPERATOR, Store

HOST, PATH, KEY, TENANT = "ficu95.example", "/pule252/2f", "xd9dnn2ctnfzs989anu6", "huka270"
SERVICE = "registru"
CRASHING_BODY = b"a closure entry that crashes its replica"
DAEMONS, REPLICAS = 3, 6
DEADLINE_MS = 1000
BACK_AFTER_S = 3.0
STABLE_S = BOUNDS["stable-window-ms"] / 1_000
# Most of its retries that may reach replicas, by the rule.
MOST_LATE_RETRIES = 3
# Between two attempts of the request, and between the restarts of two daemons.
RETRY_S, BETWEEN_RESTARTS_S = 1.5, 8.0
ATTEMPTS_AT_EACH = 4

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-px5pa2y", "host": HOST, "path-prefix": "/pule252/", "kind": "unsafe",
        "timeout-ms": 1000, "target-latency-ms": 150, "priority": 2, "service": SERVICE,
        "max-attempts": 1, "auth-exempt": False,
    }],
    "services": [{"name": SERVICE, "health-path": "/healthz", "max-connections": 110}],
    "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    "limits": {
        "max-header-bytes": 16384, "max-body-bytes": 4194304,
        "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
    },
}


class CrashingReplica(Replica):
    """Ends as soon as it begins to run the request, and is back some seconds later."""

    async def run(self, request_id, first, fields, body, writer):
        if body != CRASHING_BODY:
            await super().run(request_id, first, fields, body, writer)
            return
        asyncio.get_running_loop().create_task(self.crash_and_return(BACK_AFTER_S))


class Callers:
    def __init__(self, case):
        self._case, self._number = case, 0
        # Attempts of the crashing request: id, daemon, moment, status.
        self.attempts = []
        # Statuses of ordinary requests.
        self.ordinary = {}

    async def send(self, daemon, body):
        self._number += 1
        request_id = f"{self._number:06d}{random.getrandbits(40):010x}"
        bytes_out = http11.request("POST", PATH, {
            "Host": HOST, "X-Sapphirereel-Request-Id": request_id,
            "X-Sapphirereel-Deadline-Ms": DEADLINE_MS, "X-Sapphirereel-Credential": KEY,
        }, body)
        try:
            status, _, _ = await http11.call(daemon.front, bytes_out, DEADLINE_MS / 1_000 + 0.5)
        except http11.Broken as why:
            status = str(why)
        return request_id, status

    async def send_crashing(self, daemon):
        sent_at = time.monotonic()
        request_id, status = await self.send(daemon, CRASHING_BODY)
        self.attempts.append((request_id, daemon, sent_at, status))
        self._case.record(f"crashing request {request_id} sent to {daemon.name}: {status}")

    async def keep_sending(self, daemons):
        """Ordinary requests of other contents, beside all that happens."""
        number = 0
        while True:
            await asyncio.sleep(0.05)
            number += 1
            ready = [each for each in daemons if not each.has_ended() and each.is_in_touch(time.monotonic(), 5)]
            if ready:
                asyncio.create_task(self._send_ordinary(random.choice(ready), number))

    async def _send_ordinary(self, daemon, number):
        _, status = await self.send(daemon, b"closure entry %d" % number)
        self.ordinary[status] = self.ordinary.get(status, 0) + 1


async def play(case, scratch):
    store = Store()
    ips, base = free_ips(DAEMONS)
    await store.open("127.0.0.1")
    await store.write(OPERATOR, "config", CONFIGURATION)
    replicas = [
        CrashingReplica(f"i-{number:010x}", SERVICE, zone, store, case.record, work_s=0.1)
        for number, zone in enumerate(["brasov-a", "sibiu-b", "prahova-c"] * 2, 1)
    ]
    for each in replicas[:REPLICAS]:
        await each.open("127.0.0.1")
    zones = ["brasov-a", "sibiu-b", "prahova-c"]
    case.daemons = [
        Daemon(scratch, ip, base, zone, ips, store.address, case.record)
        for ip, zone in zip(ips, zones)
    ]
    for each in case.daemons:
        each.start()
    for each in case.daemons:
        await until(each.is_ready, 10, f"{each.name} was not ready")
    callers = Callers(case)
    ordinary = asyncio.create_task(callers.keep_sending(case.daemons))
    await asyncio.sleep(STABLE_S + 1)

    crashes = lambda: [at for each in replicas for _, at, fields in each.runs if is_crashing(callers, fields)]
    while len(crashes()) < 3:
        await callers.send_crashing(random.choice(case.daemons))
        await asyncio.sleep(RETRY_S)
    third_crash_at = sorted(crashes())[2]
    case.record("it has crashed its third replica")
    await asyncio.sleep(STABLE_S)

    for each in case.daemons:
        if case.has_trouble:
            each.send(signal.SIGTERM)
            await until(each.has_ended, BOUNDS["grace-s"], f"{each.name} did not end")
            each.start()
            await until(each.is_ready, 10, f"{each.name} was not ready again")
        await asyncio.sleep(STABLE_S + 0.5)
        for _ in range(ATTEMPTS_AT_EACH):
            await callers.send_crashing(each)
            await asyncio.sleep(RETRY_S)
        await asyncio.sleep(BETWEEN_RESTARTS_S - RETRY_S)
    ordinary.cancel()
    return judge(case, callers, replicas, third_crash_at)


def is_crashing(callers, fields):
    known = {request_id for request_id, *_ in callers.attempts}
    return fields["x-sapphirereel-request-id"] in known


def judge(case, callers, replicas, third_crash_at):
    ran = {request_id: at for each in replicas for request_id, at, _ in each.runs}
    for request_id, daemon, sent_at, status in callers.attempts:
        if status in (408, 421, 429, 503) and request_id in ran:
            return [f"{request_id} was answered {status} and ran"]
    late = [
        (request_id, daemon) for request_id, daemon, _, _ in callers.attempts
        if request_id in ran and ran[request_id] > third_crash_at + STABLE_S
        and daemon.is_in_touch(ran[request_id])
    ]
    for request_id, daemon in late:
        case.record(f"late retry {request_id} reached a replica from {daemon.name}")
    case.record(f"ordinary requests by answer: {callers.ordinary}")
    told = f"{len(late)} late retries reached replicas, {MOST_LATE_RETRIES} may"
    case.record(told)
    lost = sum(count for status, count in callers.ordinary.items() if status != 200)
    return [f"BUDGET: {told}; {lost} other requests got no success meanwhile"] if len(late) > MOST_LATE_RETRIES else []


main(HERE, play)
