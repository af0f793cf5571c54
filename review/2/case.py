"""A replica leaves soon after the store has come back; see claim.txt."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

import case  # noqa: E402
from clients import Connection  # noqa: E402
from daemons import Daemon  # noqa: E402
from replicas import Replica  # noqa: E402
from store import CONFIGURATION, Store  # noqa: E402

CLIENTS = 24
ROUNDS = 5
OUTAGE_S = 3.6
# The store counts as stable after stable-window-ms without disruption.
STABLE_S = 3.0
LEAVES_AFTER_S = STABLE_S + 0.05
DRAIN_S = 2.0
# How much longer a leaving replica serves.
LONGER_S = 0.12


class Noting(Replica):
    """Notes what reaches it, whether or not a slot is free."""

    def __init__(self, *terms, **more):
        super().__init__(*terms, **more)
        self.arrived = []

    async def take(self, asked, reader, writer):
        if asked.fields.get("x-sapphirereel-expect-instance", self.id) == self.id:
            self.arrived.append(
                (time.monotonic(), asked.fields.get("x-sapphirereel-request-id", "")))
        await super().take(asked, reader, writer)


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
    chosen = random.Random(number)
    kept, count = None, 0
    while time.monotonic() < until():
        count += 1
        if kept is None or kept.writer is None:
            kept = Connection(chosen.choice(fronts))
        kind = chosen.choice(["record", "record", "status"])
        fields = {"Host": "h.example", "X-Sapphirereel-Deadline-Ms": 1000,
                  "X-Sapphirereel-Credential": "key-1"}
        outcomes.append(await kept.ask(
            "POST" if kind == "record" else "GET", f"/{kind}/a",
            f"{kind}-{number}-{count}", fields,
            b"x" * 600 if kind == "record" else b"", 1.1))
        await asyncio.sleep(chosen.uniform(0.1, 0.4))
    if kept is not None:
        kept.close()


async def body(record, net, temp, daemons):
    store = Store()
    await store.open(f"{net}.5")
    await store.write(CONFIGURATION, "config", configuration())
    zones = ["brasov-a", "sibiu-b", "prahova-c"]
    # As long as the longest work of the deployment, so that some is cut off.
    async def new_replica(at):
        made = Noting("registru", zones[at % 3], work_s=0.05)
        await made.open(f"{net}.{20 + at}", store)
        return made
    replicas = [await new_replica(at) for at in range(3)]
    seeds = [f"{net}.{10 + at}" for at in range(3)]
    for ip, zone in zip(seeds, zones):
        daemons.append(Daemon(temp, ip, zone, seeds, store.address))
        daemons[-1].start()
    await asyncio.sleep(4)
    record.say(f"traffic begins; trouble: {case.trouble()}")
    end = [float("inf")]
    fronts, outcomes = [each.front for each in daemons], []
    clients = [asyncio.create_task(send_on(number, fronts, lambda: end[0], outcomes))
               for number in range(CLIENTS)]
    await asyncio.sleep(2)
    late, left = [], []
    for number in range(ROUNDS):
        if case.trouble():
            store.mode = "silent"
            record.note("the store answers nothing")
        await asyncio.sleep(OUTAGE_S)
        store.mode = "up"
        record.note("the store answers")
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving = replicas.pop(0)
        acknowledged = await leaving.leave_without_draining()
        record.note(f"{leaving.id}: its entry is removed, acknowledged", acknowledged)
        await asyncio.sleep(DRAIN_S + LONGER_S - (time.monotonic() - acknowledged))
        running = [run[0] for run in leaving.runs if run[2] is None]
        leaving.exit()
        record.note(f"{leaving.id} exits; it still runs {running}")
        left.append((leaving, running))
        for at, request_id in leaving.arrived:
            if at > acknowledged + DRAIN_S:
                late.append(request_id)
                record.note(f"{request_id} reached {leaving.id} "
                            f"{(at - acknowledged) * 1e3:.0f} ms after that", at)
        replicas.append(await new_replica(3 + number))
        await asyncio.sleep(4)
    end[0] = 0.0
    await asyncio.gather(*clients)
    by_id = {got.id: got for got in outcomes}
    for got in outcomes:
        record.note(f"{got.daemon} {got.id} -> {got.status or 'no answer'} {got.why}",
                    got.sent_at)
    cut = [each for _, running in left for each in running if each in late]
    unknown = [each for each in cut
               if each.startswith("record") and by_id[each].status != 200]
    for each in cut:
        record.note(f"{each}: cut off while it ran; the client got "
                    f"{by_id[each].status or 'no answer'}")
    for each in replicas:
        each.exit()
    record.say(f"sent {len(outcomes)}, rounds {ROUNDS}, requests that reached a "
               f"leaving replica later than drain-ms {len(late)}; of these cut off "
               f"while they ran {len(cut)}, unsafe ones among them whose client "
               f"got no result {len(unknown)}")
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached replicas more than "
            f"{DRAIN_S * 1e3:.0f} ms after their leaving was acknowledged"]


case.play(FOLDER, body)
