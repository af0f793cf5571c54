"""Three machines of 90 are lost, those that read the store for the others; right after
that the operator removes a key, and a replica starts to drain."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

from platform_standins import Replica, Store, message, read_message

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target/bin/sapphirereel_entry")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As on the sheet of raseed-amm-grown.
ZONES, MACHINES_OF_ZONE = ("amm-a", "amm-b", "amm-c"), 30
CONFIG_APPLY_S, DRAIN_S, STABLE_S = 3.0, 3.0, 4.0
# "To be borne at once: the loss of any number of them."
LOST_OF_ZONE = 1
SETTLE_S, WATCH_S = 12.0, 6.0
ASK_EVERY_S = 0.3


def free_ports(ips, count):
    """Ports that are free on all addresses."""
    for _ in range(50):
        first = random.randrange(20_000, 30_000 - count)
        held = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    one = socket.socket()
                    held.append(one)
                    one.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports")


def configuration(version, keys):
    return {
        "version": version,
        "routes": [
            {"name": "topup", "host": "h.example", "path-prefix": "/topup/", "kind": "unsafe",
             "service": "wallet-api", "timeout-ms": 2_500, "target-latency-ms": 150,
             "max-attempts": 1, "priority": 2},
            {"name": "balance", "host": "h.example", "path-prefix": "/balance/", "kind": "safe",
             "service": "wallet-api", "timeout-ms": 2_500, "target-latency-ms": 150,
             "max-attempts": 2, "priority": 2},
        ],
        "services": [{"name": "wallet-api", "max-connections": 600}],
        "tenants": [{"name": name, "api-keys": [key]} for key, name in keys.items()],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
                   "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
    }


class Machine:
    def __init__(self, ip, zone, folder, ports):
        self.ip, self.zone, self.folder, self.ports = ip, zone, folder, ports
        self.process = None

    def start(self, store, seeds):
        path = os.path.join(self.folder, f"{self.ip}.conf")
        settings = {
            "node-name": f"front-{self.ip}", "role": "entry", "machine-class": "front",
            "serves": "front,control,directory", "ip": self.ip, "zone": self.zone,
            "listen.front": f"{self.ip}:{self.ports}",
            "listen.ready": f"{self.ip}:{self.ports + 1}",
            "listen.control": f"{self.ip}:{self.ports + 2}",
            "listen.directory": f"{self.ip}:{self.ports + 3}",
            "internal-ports": f"{self.ports + 4},{self.ports + 5}",
            "seeds": ",".join(f"{ip}:{self.ports + 2}" for ip in seeds),
            "platform.address": store, "heartbeat-ms": 1_200,
            "bounds.stable-window-ms": 4_000, "bounds.config-apply-ms": 3_000,
            "bounds.drain-ms": 3_000, "bounds.grace-s": 8,
            "bounds.retry-budget-ratio": 0.2, "bounds.budget-window-s": 10,
            "bounds.budget-slack": 220, "bounds.ttl_max_s": 5,
            "limits.cpu-share": 0.25, "limits.cores": 1, "limits.memory-mb": 110,
            "limits.max-fds": 4_100, "limits.link-mbps": 200,
        }
        with open(path, "w") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        with open(os.path.join(self.folder, f"{self.ip}.log"), "wb") as log:
            self.process = subprocess.Popen(
                [PROGRAM], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "SAPPHIREREEL_BOOT": path})

    def text(self):
        with open(os.path.join(self.folder, f"{self.ip}.log")) as file:
            return file.read()


class Record:
    def __init__(self):
        self.file = open("record.txt", "w")
        self.began = time.monotonic()

    def write(self, text, at=None):
        moment = (time.monotonic() if at is None else at) - self.began
        self.file.write(f"{moment:9.3f} {text}\n")


async def ask(machine, target, method, key, sent):
    """One request on a connection of its own; notes when it was sent and its status."""
    request = uuid.uuid4().hex[:16]
    entry = {"id": request, "machine": machine, "key": key, "method": method,
             "at": time.monotonic(), "status": 0}
    sent.append(entry)
    writer = None
    try:
        async with asyncio.timeout(2.5):
            reader, writer = await asyncio.open_connection(machine.ip, machine.ports)
            entry["at"] = time.monotonic()
            writer.write(message(f"{method} {target} HTTP/1.1", {
                "Host": "h.example", "X-Sapphirereel-Request-Id": request,
                "X-Sapphirereel-Deadline-Ms": 2_500, "X-Sapphirereel-Credential": key,
                "Connection": "close"}, b"" if method == "GET" else b"y" * 600))
            got = await read_message(reader)
            entry["status"] = int(got[0].split(" ")[1]) if got else 0
    except (TimeoutError, OSError):
        pass
    finally:
        entry["end"] = time.monotonic()
        if writer is not None:
            writer.close()


async def traffic(machine, sent, ends_at):
    await asyncio.sleep(random.uniform(0, ASK_EVERY_S))
    turn = random.randrange(2)
    while time.monotonic() < ends_at():
        turn += 1
        began = time.monotonic()
        if turn % 2:
            await ask(machine, "/balance/1", "GET", "key-old", sent)
        else:
            await ask(machine, "/topup/1", "POST", "key-kept", sent)
        await asyncio.sleep(max(0.0, ASK_EVERY_S - (time.monotonic() - began)))


async def play(folder, machines, record):
    store = Store()
    await store.open("127.0.0.1")
    replicas = [Replica(f"i-{at}", "wallet-api", zone, 0.03, 60)
                for at, zone in enumerate(ZONES)]
    for replica in replicas:
        await replica.open("127.0.0.1", store)
    await store.write("keyed.op", "config",
                      configuration(1, {"key-old": "t-old", "key-kept": "t-kept"}))
    seeds = [[each for each in machines if each.zone == zone][0].ip for zone in ZONES]
    for machine in machines:
        machine.start(store.address, seeds)
    await asyncio.sleep(SETTLE_S)
    if any(each.process.poll() is not None for each in machines):
        return None
    # The machines of a zone in the order of their addresses: those that read the store
    # for the others come first.
    lost = []
    for zone in ZONES:
        in_zone = sorted((each for each in machines if each.zone == zone), key=lambda m: m.ip)
        lost += in_zone[:LOST_OF_ZONE]
    readers = [each.ip for each in machines
               if "became a primary log reader" in each.text()]
    record.write(f"read the store for the others: {', '.join(readers)}")
    kept = [each for each in machines if each not in lost]
    sent, end = [], [time.monotonic() + 600]
    tasks = [asyncio.create_task(traffic(each, sent, lambda: end[0])) for each in kept]
    await asyncio.sleep(STABLE_S)
    if TROUBLE:
        for machine in lost:
            machine.process.send_signal(signal.SIGKILL)
        record.write(f"lost: {', '.join(each.ip for each in lost)}")
    await asyncio.sleep(0.05)
    acknowledged = await store.write("keyed.op", "config", configuration(3, {"key-kept": "t-kept"}))
    record.write("the store acknowledged version 3, without key-old", acknowledged)
    leaving = replicas[0]
    drained = await leaving.register(store, "draining")
    record.write(f"the store acknowledged that {leaving.name} is draining", drained)
    end[0] = acknowledged + WATCH_S
    # It serves for drain-ms after that and a little longer, and then exits.
    await asyncio.sleep(max(0.0, drained + DRAIN_S + 0.15 - time.monotonic()))
    record.write(f"{leaving.name} exits")
    await leaving.leave(store)
    await asyncio.gather(*tasks)
    if any(each.process.poll() is not None for each in kept):
        record.write("a process ended by itself")
    return judge(record, sent, replicas, acknowledged, drained, leaving, kept)


def judge(record, sent, replicas, acknowledged, drained, leaving, kept):
    ran = {run[1] for replica in replicas for run in replica.runs}
    late = [each for each in sent if each["key"] == "key-old" and each["id"] in ran
            and each["at"] > acknowledged + CONFIG_APPLY_S]
    drain = [run for run in leaving.runs if run[0] > drained + DRAIN_S]
    unanswered = [each for each in sent if each["method"] == "POST" and each["status"] != 200
                  and each["at"] > acknowledged - 1]
    for each in sent:
        run = "ran" if each["id"] in ran else "did not run"
        record.write(f"{each['id']} {each['method']} {each['key']} to {each['machine'].ip}: "
                     f"{each['status']}, {run}", each["at"])
    applied = []
    for machine in kept:
        refused = [each["at"] for each in sent if each["machine"] is machine
                   and each["status"] == 401]
        if refused:
            applied.append(min(refused) - acknowledged)
    record.write(f"first 401 for the removed key: after {min(applied, default=-1):.2f} to "
                 f"{max(applied, default=-1):.2f} s, by {len(applied)} of {len(kept)} machines")
    statuses = {}
    for each in sent:
        statuses[each["status"]] = statuses.get(each["status"], 0) + 1
    record.write(f"requests {len(sent)}, by status {statuses}")
    record.write(f"CONFIG: {len(late)} requests with the removed key ran that were sent later "
                 f"than {CONFIG_APPLY_S} s after the acknowledgement, by "
                 f"{len({each['machine'].ip for each in late})} machines")
    record.write(f"DRAIN: {len(drain)} requests reached {leaving.name} later than {DRAIN_S} s "
                 f"after the acknowledgement; {sum(not run[3] for run in leaving.runs)} "
                 f"requests that it ran were cut off; "
                 f"{len(unanswered)} POST requests got no success")
    return bool(late or drain)


def main():
    if not os.access(PROGRAM, os.X_OK):
        return 2
    record = Record()
    ips = {zone: [f"127.0.{at + 1}.{number}" for number in range(1, MACHINES_OF_ZONE + 1)]
           for at, zone in enumerate(ZONES)}
    with tempfile.TemporaryDirectory() as folder:
        ports = free_ports([ip for zone in ips.values() for ip in zone], 6)
        machines = [Machine(ip, zone, folder, ports) for zone in ZONES for ip in ips[zone]]
        try:
            broken = asyncio.run(asyncio.wait_for(play(folder, machines, record), 100))
        except (TimeoutError, OSError, RuntimeError) as why:
            record.write(f"could not run: {why!r}")
            return 2
        finally:
            for machine in machines:
                if machine.process and machine.process.poll() is None:
                    machine.process.kill()
                    machine.process.wait()
    if broken is None:
        return 2
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
