"""A replica spoils the length that its answer states; see claim.txt."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

import case  # noqa: E402
import http11  # noqa: E402
from clients import Connection  # noqa: E402
from daemons import Daemon  # noqa: E402
from replicas import Replica  # noqa: E402
from store import CONFIGURATION, Store  # noqa: E402

CLIENTS = 80
# As the plain service of a grown deployment works.
WORK_S = 0.06
# The rule bears three.
MOST_LOST = 3
TRAFFIC_S = 20.0
TROUBLE_AT_S, TROUBLE_FOR_S = 6.0, 5.5
# Of the answers of one replica of three.
SPOILED_SHARE = 0.02


class SpoilingReplica(Replica):
    """Spoils some of its answers: bytes of their head come out wrong."""

    is_troubled = False
    spoiled = 0
    _counted = 0

    async def reply(self, asked, request_id, named, writer):
        whole = http11.answer(200, self.signed(request_id, named),
                              self.body_of(request_id))
        self._counted += self.is_troubled
        if self.is_troubled and self._counted * SPOILED_SHARE >= self.spoiled + 1:
            self.spoiled += 1
            at = whole.index(b"Content-Length: ") + len(b"Content-Length: ")
            wrong = str(random.randrange(10**16, 10**17)).encode()
            whole = whole[:at] + wrong + whole[whole.index(b"\r\n", at):]
            self.record.note(f"{self.id} spoils its answer to {request_id}: "
                             f"it states a length of {wrong.decode()}")
        writer.write(whole)


def configuration():
    def route(name, kind, attempts):
        return {"name": name, "host": "h.example", "path-prefix": f"/{name}/",
                "kind": kind, "timeout-ms": 1000, "target-latency-ms": 150,
                "priority": 2, "service": "registru", "max-attempts": attempts,
                "auth-exempt": False}
    return {
        "version": 7,
        "routes": [route("record", "unsafe", 1), route("status", "safe", 2)],
        "services": [{"name": "registru", "max-connections": 110,
                      "health-path": "/healthz"}],
        "tenants": [{"name": "t1", "api-keys": ["key-1"]}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


async def send_on(number, fronts, until, outcomes):
    """One client: one request after the other, on a kept connection."""
    chosen = random.Random(number)
    kept, count = None, 0
    while time.monotonic() < until:
        count += 1
        if kept is None or kept.writer is None:
            kept = Connection(chosen.choice(fronts))
        kind = chosen.choice(["record", "record", "status"])
        fields = {"Host": "h.example", "X-Sapphirereel-Deadline-Ms": 1000,
                  "X-Sapphirereel-Credential": "key-1"}
        carried = kept.writer is not None
        got = await kept.ask(
            "POST" if kind == "record" else "GET", f"/{kind}/a",
            f"{kind}-{number}-{count}", fields,
            b"x" * 600 if kind == "record" else b"", 1.1)
        got.on_kept_connection = carried
        outcomes.append(got)
        await asyncio.sleep(chosen.uniform(0.2, 0.7))
    if kept is not None:
        kept.close()


async def body(record, net, temp, daemons):
    store = Store()
    await store.open(f"{net}.5")
    await store.write(CONFIGURATION, "config", configuration())
    zones = ["brasov-a", "sibiu-b", "prahova-c"]
    replicas = []
    for at, zone in enumerate(zones):
        made = SpoilingReplica("registru", zone, work_s=WORK_S)
        made.record = record
        await made.open(f"{net}.{20 + at}", store)
        replicas.append(made)
    seeds = [f"{net}.{10 + at}" for at in range(3)]
    for ip, zone in zip(seeds, zones):
        daemons.append(Daemon(temp, ip, zone, seeds, store.address))
        daemons[-1].start()
    await asyncio.sleep(3)
    record.say("traffic begins: 3 daemons, 3 replicas, "
               f"{CLIENTS} clients; trouble: {case.trouble()}")
    until = time.monotonic() + TRAFFIC_S
    fronts, outcomes = [each.front for each in daemons], []
    clients = [asyncio.create_task(send_on(number, fronts, until, outcomes))
               for number in range(CLIENTS)]
    died = []

    async def watch():
        while True:
            for each in daemons:
                if each.ended():
                    died.append(each)
                    record.note(f"{each.name} ended by itself, "
                                f"exit code {each.process.returncode}")
                    # The platform starts an ended process again.
                    await asyncio.sleep(0.3)
                    each.start()
            await asyncio.sleep(0.02)

    watcher = asyncio.create_task(watch())
    await asyncio.sleep(TROUBLE_AT_S)
    if case.trouble():
        record.say(f"{replicas[0].id} spoils {SPOILED_SHARE:.0%} of its answers "
                   f"for {TROUBLE_FOR_S} s")
        replicas[0].is_troubled = True
        await asyncio.sleep(TROUBLE_FOR_S)
        replicas[0].is_troubled = False
    await asyncio.gather(*clients)
    watcher.cancel()
    for got in outcomes:
        record.note(f"{got.daemon} {got.id} -> {got.status or 'no answer'} "
                    f"{got.why} after {got.ended_at - got.sent_at:.3f} s", got.sent_at)
    runs = sum(len(each.runs) for each in replicas)
    cut = [got for got in outcomes if got.status == 0 and got.why == "closed"]
    sound = {run[0] for each in replicas[1:] for run in each.runs}
    lost = [got for got in cut if got.on_kept_connection and got.id in sound]
    for got in lost:
        record.note(f"{got.id}: passed on to a sound replica, no answer")
    record.say(f"sent {len(outcomes)}, connections closed without an answer "
               f"{len(cut)}, of these kept ones whose request was passed on to a "
               f"sound replica {len(lost)}; runs {runs}, answers spoiled "
               f"{sum(each.spoiled for each in replicas)}, "
               f"ends of processes by themselves {len(died)}")
    for each in replicas:
        each.exit()
    if died:
        with open(died[0].log_path, errors="replace") as file:
            last = file.read().strip().splitlines()[-3:]
        for line in last:
            record.note(f"last lines of its output: {line[:200]}")
    if len(lost) <= MOST_LOST:
        return []
    return [f"LOST: {len(lost)} requests, with {len(died)} ends of processes"]


case.play(FOLDER, body)
