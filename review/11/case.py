"""A replica breaks off streams, works on, and does not answer the order to stop them."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import http11
from case import main, until
from daemons import BOUNDS, Daemon, free_ips
from engines import Engine
from store import OPERATOR, Store

HOST, PATH, KEY, TENANT = "ficu95.example", "/lohu930/2f", "xd9dnn2ctnfzs989anu6", "huka270"
SERVICE = "lm-trasee"
ZONES = ["brasov-a", "sibiu-b", "prahova-c"]
ENGINES, EVENTS, STREAMS_PER_S, DEADLINE_MS = 7, 100, 20, 39000
STABLE_S = BOUNDS["stable-window-ms"] / 1_000
# A run may be at work at a second replica beside the first for so long.
MOST_BOTH_S = 0.4
# The faults: their windows, shares and strengths stay within those of the sheet.
WINDOWS, WINDOW_S, PAUSE_S = 8, 6.5, 1.5
GARBLE_SHARE, GARBLE_X = 0.6, 0.05
GREY_SHARE, GREY_X = 0.15, 0.45

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-px5pa2y", "host": HOST, "path-prefix": "/lohu930/", "kind": "streaming",
        "timeout-ms": DEADLINE_MS, "target-latency-ms": 1800, "priority": 1, "service": SERVICE,
        "max-attempts": 1, "auth-exempt": False, "sticky-sessions": True,
        "stream-resume": False, "gap-aim-ms": 180,
    }],
    "services": [{
        "name": SERVICE, "health-path": "/healthz", "max-connections": 282,
        "engine": {
            "slots": 24, "kv-cache-tokens": 34322, "kv-token-bytes": 18432, "link-mbps": 2700.0,
            "moves": True, "backups": True, "stride": 4, "handle-s": 5.0, "models": [{"name": "m"}],
        },
    }],
    "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    "limits": {
        "max-header-bytes": 16384, "max-body-bytes": 4194304,
        "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
    },
}


class FaultyEngine(Engine):
    """Breaks off some of its streams, and may leave orders without an answer."""

    garbles, is_grey, hung_orders, grey_requests = False, False, 0, 0

    def break_after(self):
        if not self.garbles or random.random() >= GARBLE_X:
            return None
        return random.randint(5, EVENTS // 3)

    async def take(self, first, fields, body, writer):
        self.grey_requests += self.is_grey
        await super().take(first, fields, body, writer)

    async def take_order(self, order, writer):
        if self.is_grey and self.hung_orders < GREY_X * self.grey_requests:
            self.hung_orders += 1
            self.record(f"{self.id}: leaves the order to stop {order['id']} without an answer")
            await asyncio.sleep(3_600)
        await super().take_order(order, writer)


class Caller:
    def __init__(self, case):
        self._case, self._number = case, 0
        self.ends, self.daemon_of = {}, {}

    async def keep_sending(self, daemons):
        while True:
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
            asyncio.create_task(self.stream(random.choice(daemons)))

    async def stream(self, daemon):
        self._number += 1
        request_id = f"{self._number:06d}{random.getrandbits(40):010x}"
        self.daemon_of[request_id] = daemon
        end = await self._read_stream(daemon, request_id)
        self.ends[end] = self.ends.get(end, 0) + 1

    async def _read_stream(self, daemon, request_id):
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000):
                reader, writer = await asyncio.open_connection(*http11.split(daemon.front))
                writer.write(http11.request("POST", PATH, {
                    "Host": HOST, "X-Sapphirereel-Request-Id": request_id,
                    "X-Sapphirereel-Model": "m", "X-Sapphirereel-Token-Count": "300,400",
                    "X-Sapphirereel-Length-Hint": "400",
                    "X-Sapphirereel-Prompt-Prefix": f"5c1e07a2:80,{request_id[:8]}:220",
                    "X-Sapphirereel-Deadline-Ms": DEADLINE_MS,
                    "X-Sapphirereel-Credential": KEY,
                }, b"a prompt"))
                got = await http11.read_head(reader)
                if got is None or " 200 " not in got[0]:
                    return "no answer" if got is None else got[0]
                body = await http11.read_body(reader, got[1])
                return "whole" if body.count(b"\n\n") == EVENTS else "pieces are missing"
        except TimeoutError:
            return "not in time"
        except (http11.Broken, OSError):
            return "cut"
        finally:
            if writer is not None:
                writer.close()


async def play(case, scratch):
    store = Store()
    ips, base = free_ips(3)
    await store.open("127.0.0.1")
    await store.write(OPERATOR, "config", CONFIGURATION)
    engines = [
        FaultyEngine(f"i-{number:010x}", SERVICE, ZONES[number % 3], store, case.record, events=EVENTS)
        for number in range(1, ENGINES + 1)
    ]
    for each in engines:
        await each.open("127.0.0.1")
    case.daemons = [
        Daemon(scratch, ip, base, zone, ips, store.address, case.record) for ip, zone in zip(ips, ZONES)
    ]
    for each in case.daemons:
        each.start()
    for each in case.daemons:
        await until(each.is_ready, 10, f"{each.name} was not ready")
    await asyncio.sleep(STABLE_S)
    caller = Caller(case)
    traffic = asyncio.create_task(caller.keep_sending(case.daemons))
    await asyncio.sleep(2)

    grey = engines[:max(1, int(GREY_SHARE * ENGINES))]
    garbling = engines[:int(GARBLE_SHARE * ENGINES)]
    for each in grey:
        # Most replicas drop a run whose connection has ended; this one works on.
        each.drops = False
    for _ in range(WINDOWS):
        set_faults(case, grey, garbling, case.has_trouble)
        await asyncio.sleep(WINDOW_S)
        set_faults(case, grey, garbling, False)
        await asyncio.sleep(PAUSE_S)
    traffic.cancel()
    await asyncio.sleep(7)
    return judge(case, caller, engines, grey)


def set_faults(case, grey, garbling, on):
    case.record(f"faults {'on' if on else 'off'}")
    for each in garbling:
        each.garbles = on
    for each in grey:
        each.is_grey = on


def judge(case, caller, engines, grey):
    runs = {}
    for engine in engines:
        for each in engine.all_runs:
            runs.setdefault(each.request_id, []).append(each)
    broken = 0
    for request_id, of in sorted(runs.items()):
        of.sort(key=lambda each: each.began)
        for before, after in zip(of, of[1:]):
            both_s = (before.ended or time.monotonic()) - after.began
            in_touch = caller.daemon_of[request_id].is_in_touch(after.began)
            if both_s > MOST_BOTH_S and in_touch:
                broken += 1
                case.record(
                    f"{request_id} goes on at {after.at.id} (continued: {after.is_continued}) while "
                    f"{before.at.id} works on it for {both_s:.2f} s more, to event {before.made}"
                )
    for each in grey:
        case.record(f"{each.id}: hung {each.hung_orders} of {each.grey_requests} requests while grey")
    case.record(f"streams by end: {caller.ends}; moved or continued: {sum(len(of) > 1 for of in runs.values())}")
    return [f"TWICE: {broken} requests went on at another replica while the one before worked on"] if broken else []


main(HERE, play)
