"""Versions of a large configuration follow each other quickly; the last one takes a key away."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import http11
from case import main, until
from daemons import Daemon, free_ips
from replicas import Replica
from store import OPERATOR, Store

HOST, PATH, TENANT = "ficu95.example", "/pule252/2f", "huka270"
KEPT_KEY, REMOVED_KEY = "wa5xwyhks8nbkxxmibw6", "kpqk8bdk9eevyxq2yyaz"
SERVICE = "wallet-api"
ZONES = ["amm-a", "amm-b", "amm-c"]
# The sheet's bounds, and its weakest machines.
BOUNDS = {
    "stable-window-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000,
    "config-apply-ms": 3000, "max-stretch-ms": 6000, "budget-slack": 220, "recovery-s": 15,
    "pass-ms": 200, "retry-after-s": 4.6,
}
LINK_MBPS, MEMORY_MB = 10, 88
STABLE_S, APPLY_S = BOUNDS["stable-window-ms"] / 1_000, BOUNDS["config-apply-ms"] / 1_000
# The changes: two times 1,400 routes more, then a storm as the sheet's site has it.
MORE_ROUTES, STORM_S, GAP_S = 1400, 4.0, 0.33
PROBE_S = 0.1


def configuration(version, routes, keys, timeout_ms=2500):
    plain = {
        "host": HOST, "kind": "unsafe", "timeout-ms": timeout_ms, "target-latency-ms": 150,
        "priority": 2, "service": SERVICE, "max-attempts": 1, "auth-exempt": False,
        "sticky-sessions": False, "stream-resume": False,
    }
    more = [
        plain | {"name": f"r-more-{number:06d}", "host": f"h{number % 97}.example", "path-prefix": f"/more{number:06d}/"}
        for number in range(routes)
    ]
    return {
        "version": version,
        "routes": [plain | {"name": "r-px5pa2y", "path-prefix": "/pule252/"}] + more,
        "services": [{"name": SERVICE, "health-path": "/healthz", "max-connections": 600}],
        "tenants": [{"name": TENANT, "api-keys": keys, "priority": 1}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
    }


class Probes:
    """Entries with the key that is taken away, one each 0.1 s to each daemon."""

    def __init__(self):
        self.sent, self.statuses, self._number = {}, {}, 0

    async def keep_sending(self, daemon):
        while True:
            asyncio.create_task(self._send(daemon))
            await asyncio.sleep(PROBE_S)

    async def _send(self, daemon):
        self._number += 1
        request_id = f"{self._number:06d}{random.getrandbits(40):010x}"
        self.sent[request_id] = (daemon, time.monotonic())
        bytes_out = http11.request("POST", PATH, {
            "Host": HOST, "X-Sapphirereel-Request-Id": request_id,
            "X-Sapphirereel-Deadline-Ms": 2500, "X-Sapphirereel-Credential": REMOVED_KEY,
        }, b"entry")
        try:
            status, _, _ = await http11.call(daemon.front, bytes_out, 3)
        except http11.Broken as why:
            status = str(why)
        self.statuses[status] = self.statuses.get(status, 0) + 1


async def play(case, scratch):
    store = Store()
    ips, base = free_ips(3)
    await store.open("127.0.0.1")
    both = [KEPT_KEY, REMOVED_KEY]
    await store.write(OPERATOR, "config", configuration(1, 0, both))
    replicas = [Replica(f"i-{n:010x}", SERVICE, ZONES[n % 3], store, case.record, slots=24) for n in range(1, 4)]
    for each in replicas:
        await each.open("127.0.0.1")
    for ip, zone in zip(ips, ZONES):
        door = await store.open_narrow("127.0.0.1", LINK_MBPS)
        machine = {"limits.link-mbps": LINK_MBPS, "limits.memory-mb": MEMORY_MB}
        case.daemons.append(Daemon(scratch, ip, base, zone, ips, door, case.record, machine, BOUNDS))
    for each in case.daemons:
        each.start()
    for each in case.daemons:
        await until(each.is_ready, 10, f"{each.name} was not ready")
    probes = Probes()
    sending = [asyncio.create_task(probes.keep_sending(each)) for each in case.daemons]
    await asyncio.sleep(STABLE_S)

    version = 2
    for times in (1, 2):
        await store.write(OPERATOR, "config", configuration(version, times * MORE_ROUTES, both))
        version += 1
        await asyncio.sleep(6)
    storm = int(STORM_S / GAP_S) if case.has_trouble else 1
    for number in range(storm):
        is_last = number == storm - 1
        keys = [KEPT_KEY] if is_last else both
        written = configuration(version, 2 * MORE_ROUTES, keys, 2500 + number)
        await store.write(OPERATOR, "config", written)
        acknowledged_at = time.monotonic()
        case.record(f"version {version} is acknowledged{', without the key' if is_last else ''}")
        version += 1
        if not is_last:
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(14)
    for each in sending:
        each.cancel()
    await asyncio.sleep(1)
    return judge(case, probes, replicas, acknowledged_at)


def judge(case, probes, replicas, acknowledged_at):
    ran = {request_id: at for each in replicas for request_id, at, _ in each.runs}
    late = []
    for request_id, (daemon, sent_at) in probes.sent.items():
        if request_id in ran and sent_at > acknowledged_at + APPLY_S and daemon.is_in_touch(sent_at, STABLE_S):
            late.append((daemon, sent_at - acknowledged_at))
    for daemon in {daemon.name: daemon for daemon, _ in late}.values():
        times = [after_s for each, after_s in late if each is daemon]
        case.record(f"{daemon.name}: {len(times)} entries with the removed key ran late, the last sent after {max(times):.2f} s")
    case.record(f"entries by answer: {probes.statuses}")
    if not late:
        return []
    longest = max(after_s for _, after_s in late)
    return [f"CONFIG: {len(late)} entries with a removed key ran later than config-apply-ms, the last sent after {longest:.2f} s"]


main(HERE, play)
