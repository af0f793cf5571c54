"""A replica breaks off a stream and works on; see claim.txt."""

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

REPLICAS, SLOTS = 3, 24
CLIENTS = 36
EVENTS, EVENT_S, TOKENS_OF_EVENT = 80, 0.016, 4
TROUBLES, TROUBLE_FOR_S, CALM_S = 4, 5.5, 6.0
# Of the answers of one replica of three.
BROKEN_SHARE = 0.02
# The rule allows the earlier replica this long.
OVERLAP_S = 0.4

by_address = {}


class Run:
    def __init__(self, request_id, at, first):
        self.id, self.at, self.made, self.first = request_id, at, first, first
        self.began, self.ended = time.monotonic(), None


class Engine(Replica):
    """A model replica. It keeps copies of runs of others (Kv-Backup) and goes on
    from them. One that does not drop works on when a connection closes."""

    drops = True
    is_troubled = False

    def __init__(self, *terms, **more):
        super().__init__(*terms, **more)
        self.copies, self.all_runs, self._answers, self.broken = set(), [], 0, []

    async def open(self, ip, store):
        await super().open(ip, store)
        by_address[self.address] = self

    async def take(self, asked, reader, writer):
        fields = asked.fields
        request_id = fields.get("x-sapphirereel-request-id", "")
        named = {"X-Sapphirereel-Request-Id": request_id}
        not_run = named | {"X-Sapphirereel-Not-Executed": 1}
        if not request_id:
            writer.write(http11.answer(400, not_run))
            return
        if fields.get("x-sapphirereel-expect-instance", self.id) != self.id:
            writer.write(http11.answer(421, named | {
                "X-Sapphirereel-Replica-Id": self.id}))
            return
        first = 0
        if "kv-from" in fields:
            if request_id not in self.copies:
                writer.write(http11.answer(503, not_run))
                return
            self.copies.discard(request_id)
            first = int(fields["last-event-id"])
        elif self._running >= SLOTS:
            writer.write(http11.answer(503, not_run))
            return
        self._running += 1
        run = Run(request_id, self.id, first)
        self.all_runs.append(run)
        try:
            await self.generate(run, fields, named, writer)
        finally:
            run.ended = time.monotonic()
            self._running -= 1

    async def generate(self, run, fields, named, writer):
        holder = by_address.get(fields.get("x-sapphirereel-kv-backup", ""))
        self._answers += self.is_troubled
        breaks = (self.is_troubled
                  and self._answers * BROKEN_SHARE >= len(self.broken) + 1)
        is_cut = False
        if breaks:
            self.broken.append(run.id)
        head = self.signed(run.id, named) | {"Content-Type": "text/event-stream"}
        writer.write(http11.answer(200, head, chunked=True))
        while run.made < EVENTS:
            await asyncio.sleep(EVENT_S)
            run.made += 1
            event = f"id: {run.made}\ndata: {run.id} {run.made}\n\n".encode()
            if breaks and not is_cut and run.made == run.first + EVENTS // 4:
                self.record.note(f"{self.id} breaks off its answer to {run.id} "
                                 f"within event {run.made} and works on")
                writer.write(http11.chunk(event[:7]))
                await writer.drain()
                writer.close()
                is_cut = True
            if not is_cut:
                if writer.is_closing() and self.drops:
                    return
                writer.write(http11.chunk(event))
                try:
                    await writer.drain()
                except OSError:
                    if self.drops:
                        return
                    is_cut = True
                if holder is not None:
                    holder.copies.add(run.id)
        if not is_cut:
            writer.write(http11.chunk(b""))
            if holder is not None:
                holder.copies.discard(run.id)


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "draft", "host": "h.example", "path-prefix": "/draft/",
                    "kind": "streaming", "timeout-ms": 39000,
                    "target-latency-ms": 1800, "gap-aim-ms": 180, "priority": 1,
                    "service": "lm", "max-attempts": 1, "auth-exempt": False,
                    "sticky-sessions": True, "stream-resume": False}],
        "services": [{"name": "lm", "max-connections": 282,
                      "health-path": "/healthz",
                      "engine": {"slots": SLOTS, "kv-cache-tokens": 34322,
                                 "kv-token-bytes": 18432, "link-mbps": 2700.0,
                                 "moves": True, "backups": True,
                                 "stride": TOKENS_OF_EVENT, "handle-s": 5.0,
                                 "models": [{"name": "m"}]}}],
        "tenants": [{"name": "t1", "api-keys": ["key-1"]}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


async def send_on(number, fronts, until, outcomes):
    chosen = random.Random(number)
    kept, count = None, 0
    while time.monotonic() < until[0]:
        count += 1
        if kept is None or kept.writer is None:
            kept = Connection(chosen.choice(fronts))
        fields = {
            "Host": "h.example", "X-Sapphirereel-Deadline-Ms": 39000,
            "X-Sapphirereel-Credential": "key-1", "X-Sapphirereel-Model": "m",
            "X-Sapphirereel-Token-Count": f"300,{EVENTS * TOKENS_OF_EVENT}",
            "X-Sapphirereel-Prompt-Prefix": f"5c1e:100,{number:x}{count:06x}:200",
            "X-Sapphirereel-Length-Hint": EVENTS * TOKENS_OF_EVENT,
        }
        outcomes.append(await kept.ask("POST", "/draft/a", f"draft-{number}-{count}",
                                       fields, b"p" * 1200, 39))
        await asyncio.sleep(chosen.uniform(0.02, 0.2))
    if kept is not None:
        kept.close()


def overlaps(engines):
    """Runs that began while an earlier replica worked on the request and still
    did so OVERLAP_S later."""
    runs = {}
    for each in engines:
        for run in each.all_runs:
            runs.setdefault(run.id, []).append(run)
    found = []
    for of_request in runs.values():
        of_request.sort(key=lambda run: run.began)
        for earlier, later in zip(of_request, of_request[1:]):
            still = earlier.ended - later.began
            if still > OVERLAP_S:
                found.append((earlier, later, still))
    return found


async def body(record, net, temp, daemons):
    store = Store()
    await store.open(f"{net}.5")
    await store.write(CONFIGURATION, "config", configuration())
    zones = ["brasov-a", "sibiu-b", "prahova-c"]
    engines = []
    for at in range(REPLICAS):
        made = Engine("lm", zones[at], slots=SLOTS)
        made.record = record
        await made.open(f"{net}.{20 + at}", store)
        engines.append(made)
    engines[0].drops = False
    seeds = [f"{net}.{10 + at}" for at in range(3)]
    for ip, zone in zip(seeds, zones):
        daemons.append(Daemon(temp, ip, zone, seeds, store.address))
        daemons[-1].start()
    await asyncio.sleep(3)
    record.say(f"traffic begins; trouble: {case.trouble()}")
    fronts, outcomes, until = [each.front for each in daemons], [], [float("inf")]
    clients = [asyncio.create_task(send_on(number, fronts, until, outcomes))
               for number in range(CLIENTS)]
    for _ in range(TROUBLES):
        await asyncio.sleep(CALM_S)
        if case.trouble():
            record.note(f"{engines[0].id} breaks off {BROKEN_SHARE:.0%} of its "
                        f"answers for {TROUBLE_FOR_S} s")
        engines[0].is_troubled = case.trouble()
        await asyncio.sleep(TROUBLE_FOR_S)
        engines[0].is_troubled = False
    until[0] = 0.0
    await asyncio.gather(*clients)
    await asyncio.sleep(EVENTS * EVENT_S + 1)
    for got in outcomes:
        events = got.body.count(b"\n\n")
        record.note(f"{got.daemon} {got.id} -> {got.status or 'no answer'} "
                    f"{events} events, whole {got.whole} {got.why}", got.sent_at)
    found = overlaps(engines)
    for earlier, later, still in found:
        record.note(f"{later.id}: goes on at {later.at} after event {later.first}",
                    later.began)
        record.note(f"{earlier.id}: {earlier.at} still works on it "
                    f"{still * 1e3:.0f} ms later", earlier.ended)
    whole = sum(got.whole and got.status == 200 for got in outcomes)
    record.say(f"streams {len(outcomes)}, whole {whole}, answers broken off "
               f"{len(engines[0].broken)}, requests at two replicas at once for "
               f"over {OVERLAP_S * 1e3:.0f} ms {len(found)}")
    for each in engines:
        each.exit()
    return [f"TWICE: {len(found)} requests went on at another replica while the "
            "one before still worked on them"] if found else []


case.play(FOLDER, body)
