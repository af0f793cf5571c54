"""The store leaves a daemon without answers for a while; a replica leaves just after that."""

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
ZONES = ["brasov-a", "sibiu-b", "prahova-c"]
REPLICAS, PER_S = 4, 120
STABLE_S, DRAIN_S = BOUNDS["stable-window-ms"] / 1_000, BOUNDS["drain-ms"] / 1_000
SILENT_S, LEAVES_AFTER_S, SERVES_ON_S = 9.0, 0.7, 3.0
ROUNDS = 5

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


class Entries:
    """Unsafe requests to one daemon."""

    def __init__(self, daemon):
        self._daemon, self._number = daemon, 0
        self.sent, self.statuses = {}, {}

    async def keep_sending(self):
        while True:
            await asyncio.sleep(random.expovariate(PER_S))
            asyncio.create_task(self._send())

    async def _send(self):
        self._number += 1
        request_id = f"{self._number:06d}{random.getrandbits(40):010x}"
        self.sent[request_id] = time.monotonic()
        bytes_out = http11.request("POST", PATH, {
            "Host": HOST, "X-Sapphirereel-Request-Id": request_id,
            "X-Sapphirereel-Deadline-Ms": 1000, "X-Sapphirereel-Credential": KEY,
        }, b"entry")
        try:
            status, _, _ = await http11.call(self._daemon.front, bytes_out, 1.5)
        except http11.Broken as why:
            status = str(why)
        self.statuses[status] = self.statuses.get(status, 0) + 1


async def play(case, scratch):
    store = Store()
    ips, base = free_ips(3)
    await store.open("127.0.0.1")
    await store.write(OPERATOR, "config", CONFIGURATION)
    number, replicas, left = 0, [], []
    for number in range(1, REPLICAS + 1):
        replicas.append(Replica(f"i-{number:010x}", SERVICE, ZONES[number % 3], store, case.record, slots=24))
        await replicas[-1].open("127.0.0.1")
    doors = []
    for ip, zone in zip(ips, ZONES):
        address, door = await store.open_door("127.0.0.1")
        doors.append(door)
        case.daemons.append(Daemon(scratch, ip, base, zone, ips, address, case.record))
    for each in case.daemons:
        each.start()
    for each in case.daemons:
        await until(each.is_ready, 10, f"{each.name} was not ready")
    await asyncio.sleep(STABLE_S)
    daemon, door = case.daemons[0], doors[0]
    if case.has_trouble:
        for lost in case.daemons[1:]:
            lost.send(signal.SIGKILL)
    entries = Entries(daemon)
    sending = asyncio.create_task(entries.keep_sending())
    await asyncio.sleep(STABLE_S)

    for _ in range(ROUNDS):
        if case.has_trouble:
            door.is_silent = True
            daemon.touch("left without answers by the store")
        await asyncio.sleep(SILENT_S)
        if case.has_trouble:
            door.is_silent = False
            daemon.touch("answered by the store again")
        await asyncio.sleep(LEAVES_AFTER_S)
        number += 1
        replicas.append(Replica(f"i-{number:010x}", SERVICE, ZONES[number % 3], store, case.record, slots=24))
        await replicas[-1].open("127.0.0.1")
        old = replicas.pop(0)
        left.append(old)
        await old.leave_unannounced(SERVES_ON_S)
        await asyncio.sleep(2)
    sending.cancel()
    await asyncio.sleep(2)
    return judge(case, daemon, entries, left)


def judge(case, daemon, entries, left):
    late = []
    for old in left:
        for request_id, at, _ in old.runs:
            is_late = at > old.left_at + DRAIN_S
            if is_late and daemon.is_in_touch(entries.sent[request_id]) and daemon.is_in_touch(at):
                late.append((old, request_id, at - old.left_at))
    for old, request_id, after_s in late:
        case.record(f"{request_id} reached {old.id} {after_s:.2f} s after its entry was removed")
    case.record(f"entries by answer: {entries.statuses}")
    if not late:
        return []
    longest = max(after_s for *_, after_s in late)
    return [f"DRAIN: {len(late)} entries reached replicas later than drain-ms after they were gone, up to {longest:.2f} s"]


main(HERE, play)
