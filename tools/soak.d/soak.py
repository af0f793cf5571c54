"""A seeded soak of the real programs: a small deployment on loopback, faults from
outside the processes, and the promises checked from what callers and replicas saw.
"""

import argparse
import asyncio
import functools
import os
import random
import sys
import tempfile
import time

import callers
import configuration
import faulty_answers
import odd_entries
import promises
import store as platform
import verdict
from bounds import Bounds
from crowds import Crowds
from daemon_faults import DaemonFaults
from daemons import BYTES_PER_MB, Build, Daemon
from fleet import Fleet, addresses
from lost_readers import TOLD_AFTER_S, LostReaders
from replica_faults import ReplicaFaults
from model_replicas import ModelReplica
from replicas import Replica
from rollout import Rollout
from silent_orders import SilentOrders
from spans import Spans
from store import Store

ZONES = ("z1", "z2", "z3")
# A few hundred processes at most.
MOST_SCALE = 40
WARM_UP_S = 3.0
REST_S = 4.0
# The loss of readers of the store, what the others learn meanwhile, their return.
LOST_READERS_S = 12.0
# An outage, the time until the store is stable, and the end of a replica.
CALM_LEAVE_S = 10.0
ENTRY_LIFE_S = 3.0
# How often another writer adds entries, which are large.
MOST_ODD_ENTRIES = 3
# Routes that a large configuration has beside the others: up to a megabyte.
FURTHER_ROUTES = (1_000, 3_000, 6_000)
# Changes of a large configuration, the next before the last is everywhere.
CHANGES_OF_LARGE = 3
LONGEST_PAUSE_OF_CHANGES_S = 0.7
CUSTOMERS = {f"key-{number}": f"customer-{number}" for number in range(40)}
# One model replica in so many works on after its stream was cut.
WORKING_ON = 3
# Longest pause from one crowd of clients that do not behave to the next.
LONGEST_PAUSE_OF_CROWDS_S = 1.0
# How much longer than it must a replica serves that leaves.
LONGER_S = 0.8
# A pause of the stand-ins' own loop above which what they note is late.
LAG_S = 0.05


class Soak:
    def __init__(self, seed, folder, new, old=None, scale=1, fleet=None):
        self.random = random.Random(seed)
        self.seed = seed
        self.store = Store()
        self.ledger = {}
        self.replicas = []
        self.gone = []
        self.findings = []
        self.stray = []
        self.evacuations = []
        self.models = 0
        # Whoever has it may disturb the store.
        self.store_turn = asyncio.Lock()
        self.lags = Spans()
        self.version = 0
        self.further_routes = 0
        self.customers = dict(CUSTOMERS)
        self.pending = set()
        # Addresses of this soak alone, so that two never meet.
        base = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
        self.scale = scale
        self.fleet = fleet or Fleet.of_scale(scale)
        ips = addresses(base, self.fleet.daemons)
        self.replica_ip = f"{base}.250"
        self.daemons = [
            Daemon(old or new, folder, ip, ZONES[at % len(ZONES)], ips[:3])
            for at, ip in enumerate(ips)
        ]
        self.bounds = Bounds.of_daemons(self.fleet.daemons)
        self.lost_readers = LostReaders(
            random.Random(f"{seed}.readers"), self.daemons
        )
        self.daemon_faults = DaemonFaults(self.random, self.findings, self.publish)
        self.crowds = Crowds(random.Random(f"{seed}.crowds"))
        self.silent_orders = SilentOrders(random.Random(f"{seed}.orders"))
        self.odd_entries_left = MOST_ODD_ENTRIES
        self.replica_faults = ReplicaFaults(self.random)
        self.rollout = None
        if old:
            self.rollout = Rollout(
                self.daemons, self.daemon_faults, old, new, self.note
            )

    def note(self, what):
        print(f"{time.monotonic() - self.began:7.2f} s  {what}", flush=True)

    # The deployment.

    async def open(self):
        self.began = time.monotonic()
        await self.store.open("127.0.0.1")
        await self.publish()
        for service, count in self.fleet.replicas.items():
            for at in range(count):
                await self.add_replica(service, ZONES[at % len(ZONES)])
        for each in self.daemons:
            await each.open(self.store.address)

    def new_replica(self, service, zone, is_cold):
        if service != "engine":
            return Replica(service, zone, self.ledger, is_cold, self.seed)
        self.models += 1
        drops = self.models % WORKING_ON != 0
        return ModelReplica(
            service, zone, self.ledger, is_cold, self.seed, drops=drops
        )

    async def add_replica(self, service, zone, is_cold=False, port=0):
        made = self.new_replica(service, zone, is_cold)
        await made.open(self.replica_ip, self.store, port)
        self.replicas.append(made)

    async def publish(self):
        """Writes a next version."""
        self.version += 1
        whole = configuration.of_version(
            self.version, self.customers, self.further_routes
        )
        await self.store.write(platform.CONFIGURATION, "config", whole)
        return self.version

    # Faults. Each undoes itself; several overlap.

    async def disturb_store(self):
        async with self.store_turn:
            mode = self.random.choice(["silent", "busy", "reset", "slow"])
            self.store.set_mode(mode)
            await asyncio.sleep(self.random.uniform(0.5, 4))
            self.store.set_mode("up")

    async def crash(self, replica):
        self.replicas.remove(replica)
        self.gone.append(replica)
        replica.crash()
        await asyncio.sleep(self.random.uniform(0.5, 3))
        await self.store.write(platform.REPLICAS, replica.id, None)
        await self.add_replica(replica.service, replica.zone, is_cold=True)

    async def come_back(self, replica):
        """A replica ends and returns with another id at the same address, where its
        earlier entry is listed beside the later one until it expires."""
        if replica not in self.replicas:
            return
        self.replicas.remove(replica)
        self.gone.append(replica)
        replica.crash()
        is_cold = self.random.random() < 0.5
        port = int(replica.proxy.address.rpartition(":")[2])
        await self.add_replica(replica.service, replica.zone, is_cold, port)
        await asyncio.sleep(ENTRY_LIFE_S)
        await self.store.write(platform.REPLICAS, replica.id, None)

    async def come_back_together(self, replicas):
        await asyncio.gather(*(self.come_back(each) for each in replicas))

    async def leave(self, replica):
        self.replicas.remove(replica)
        self.gone.append(replica)
        await self.add_replica(replica.service, replica.zone, is_cold=True)
        await replica.register(self.store, "draining")
        await asyncio.sleep(self.bounds.drain + LONGER_S)
        replica.stop_renewing()
        await self.store.write(platform.REPLICAS, replica.id, None)
        replica.crash()

    async def leave_after_outage(self, replica):
        """The store falls silent and returns; as soon as it counts as stable, a
        replica leaves that never says so."""
        self.replicas.remove(replica)
        self.gone.append(replica)
        await self.add_replica(replica.service, replica.zone, is_cold=True)
        async with self.store_turn:
            self.store.set_mode("silent")
            # The readers' calls begin anew shortly before the return, and are lost.
            await asyncio.sleep(self.random.uniform(3.7, 3.8))
            self.store.set_mode("up")
            await asyncio.sleep(promises.STABLE_S + 0.05)
            replica.stop_renewing()
            replica.removed_at = await self.store.write(
                platform.REPLICAS, replica.id, None
            )
            await asyncio.sleep(promises.DRAIN_S + LONGER_S)
        replica.crash()

    async def leave_in_calm(self):
        """The same without other faults, in which all readers of the store lose it
        and have it back at the same time."""
        plain = [each for each in self.replicas if each.service == "plain"]
        leaving = asyncio.create_task(
            self.leave_after_outage(self.random.choice(plain))
        )
        outcomes = await self.traffic(CALM_LEAVE_S, self.fleet.callers)
        await leaving
        return outcomes

    async def lose_readers_in_calm(self):
        """Loses the readers of the store; then a version is accepted, and a replica
        says that it leaves. All others must learn of both in time."""
        losing = asyncio.create_task(self.lose_readers())
        outcomes = await self.traffic(LOST_READERS_S, 3 * self.fleet.callers)
        await losing
        return outcomes

    async def lose_readers(self):
        # What went before must not excuse anyone.
        await asyncio.sleep(self.bounds.stable + 0.1)
        how, lose = self.lost_readers.next()
        self.note(f"readers of the store {how}")
        losing = asyncio.create_task(lose())
        await asyncio.sleep(TOLD_AFTER_S)
        leaving = self.random.choice(self.replicas)
        await asyncio.gather(self.change(), self.leave(leaving))
        self.lost_readers.bring_back(await losing)

    async def watch_lags(self):
        """Notes times in which the stand-ins themselves are late."""
        while True:
            due = time.monotonic() + LAG_S
            await asyncio.sleep(LAG_S)
            self.lags.note(time.monotonic() - due > LAG_S)

    async def add_odd_entries(self):
        """Another writer's entries among the replicas', then a restart amid them."""
        self.odd_entries_left -= 1
        addresses = [each.proxy.address for each in self.replicas]
        entries = odd_entries.of(self.random, addresses)
        for key, raw in entries:
            await self.store.write_bytes(platform.REPLICAS, key, raw)
        await asyncio.sleep(self.random.uniform(0, 1))
        free = [each for each in self.daemons if self.daemon_faults.is_free(each)]
        if free:
            await self.alone(self.random.choice(free), self.daemon_faults.kill)
        # As entries of replicas that nobody renews.
        await asyncio.sleep(ENTRY_LIFE_S)
        for key in odd_entries.that_expire(entries):
            await self.store.write(platform.REPLICAS, key, None)

    async def alone(self, daemon, fault):
        await self.daemon_faults.alone(daemon, fault)

    async def evacuate(self, zone):
        key = f"evacuate/{zone}"
        since = await self.store.write(platform.CONFIGURATION, key, {})
        order = promises.Evacuation(zone, since)
        self.evacuations.append(order)
        await asyncio.sleep(promises.EVACUATION_BOUND_S + self.random.uniform(1, 5))
        order.until = await self.store.write(platform.CONFIGURATION, key, None)

    async def change(self):
        """Changes the configuration and asks each calm daemon for the new route."""
        version = await self.publish()
        accepted_at = time.monotonic()
        await asyncio.sleep(self.bounds.configuration)
        if version != self.version or not self.store.is_calm(self.bounds.stable):
            return
        calm = [each for each in self.daemons if each.is_calm(self.bounds.stable)]
        await asyncio.gather(
            *(self.ask_for_version(version, accepted_at, each) for each in calm)
        )

    async def ask_for_version(self, version, accepted_at, daemon):
        after_s = time.monotonic() - accepted_at
        got = await callers.ask_once(
            daemon.callers, "safe", "key-1", f"probe-{version}-{daemon.name}",
            f"/v{version}/a",
        )
        self.ledger.pop(got.id, None)
        if got.status == 404:
            late = f"has no version {version} {after_s:.1f} s after it was accepted"
            self.findings.append(daemon.finding(late))

    async def grow(self):
        """Publishes a large configuration and changes of it in succession, the
        last of which each calm daemon must have in time."""
        self.further_routes = self.random.choice(FURTHER_ROUTES)
        for _ in range(CHANGES_OF_LARGE):
            await self.publish()
            await asyncio.sleep(self.random.uniform(0, LONGEST_PAUSE_OF_CHANGES_S))
        await self.change()

    def next_fault(self):
        daemon = self.random.choice(self.daemons)
        replica = self.random.choice(self.replicas)
        faults = self.replica_faults
        kinds = [
            ("disturb replica", replica.id, lambda: faults.disturb(replica)),
            ("cut replica", replica.id, lambda: faults.cut(replica)),
            ("crash", replica.id, lambda: self.crash(replica)),
            ("leave", replica.id, lambda: self.leave(replica)),
            ("turn cold", replica.id, lambda: faults.turn_cold(replica)),
            ("change", "", self.change),
            ("grow", "", self.grow),
        ]
        # Each outage has its own return, after which the store is stable.
        if not self.store_turn.locked():
            leave = functools.partial(self.leave_after_outage, replica)
            kinds += [
                ("disturb store", "", self.disturb_store),
                ("leave after an outage", replica.id, leave),
            ]
        evacuated = [each.zone for each in self.evacuations if each.is_open()]
        zones = [zone for zone in ZONES if zone not in evacuated]
        # All zones at once are rare, as nothing else is tested meanwhile.
        if len(zones) > 1 or (zones and self.random.random() < 0.1):
            zone = self.random.choice(zones)
            kinds.append(("evacuate", zone, lambda: self.evacuate(zone)))
        if self.daemon_faults.is_free(daemon):
            kinds += [
                (name, daemon.name, functools.partial(self.alone, daemon, fault))
                for name, fault in self.daemon_faults.all().items()
            ]
        return self.random.choice(kinds)

    def next_answer_fault(self):
        """A fault of several replicas at once, or of what is said of them."""
        kinds = []
        if self.odd_entries_left:
            kinds.append(("odd entries", "", self.add_odd_entries))
        returning = self.random.sample(
            self.replicas, self.random.randint(1, len(self.replicas) // 2)
        )
        come_back = functools.partial(self.come_back_together, returning)
        kinds.append(("come back", f"at {len(returning)} replicas", come_back))
        for mode in faulty_answers.MODES:
            count = self.random.randint(1, len(self.replicas) // 2)
            spoiled = self.random.sample(self.replicas, count)
            which = f"at {count} replicas"
            spoil = functools.partial(
                self.replica_faults.spoil_answers, spoiled, mode
            )
            kinds.append((mode, which, spoil))
        return self.random.choice(kinds)

    async def disturb(self, seconds):
        """Series of faults that overlap; each ends before the run does."""
        end = time.monotonic() + seconds
        series = [
            self.series(end, self.next_fault, 1.2),
            self.series(end, self.next_answer_fault, 2.0),
            self.series_of_crowds(end),
            self.series_of_silent_orders(end),
        ]
        if self.rollout:
            series.append(self.rollout.run(seconds))
        await asyncio.gather(*series)
        await asyncio.gather(*self.pending)

    async def series(self, end, next_fault, longest_pause_s):
        while time.monotonic() < end:
            name, which, begin = next_fault()
            self.note(f"{name} {which}")
            self.pending.add(asyncio.create_task(begin()))
            pause_s = self.random.uniform(0.1, longest_pause_s)
            await asyncio.sleep(pause_s / self.scale)

    async def series_of_crowds(self, end):
        """One crowd after the other; ordinary callers go on."""
        draws = self.crowds.random
        while time.monotonic() < end:
            up = [each for each in self.daemons if not each.ended()]
            if up:
                name, run = self.crowds.next(draws.choice(up))
                self.note(name)
                await run()
            await asyncio.sleep(draws.uniform(0, LONGEST_PAUSE_OF_CROWDS_S))

    async def series_of_silent_orders(self, end):
        """One model replica after the other leaves orders without an answer."""
        while time.monotonic() < end:
            await asyncio.sleep(self.silent_orders.pause_s())
            silent = self.silent_orders.next(self.replicas)
            if silent:
                self.note(f"silent orders {silent.id}")
                await self.silent_orders.run(silent)

    # The run.

    async def traffic(self, seconds, first):
        directories = [each.directory for each in self.daemons]
        made = [
            callers.Caller(
                first + at, self.seed, directories, list(self.customers), self.scale
            )
            for at in range(self.fleet.callers)
        ]
        end = time.monotonic() + seconds
        await asyncio.gather(*(each.run(end) for each in made))
        self.stray += [pair for each in made for pair in each.stray]
        return [got for each in made for got in each.outcomes]

    async def run(self, seconds):
        await self.open()
        watching = asyncio.create_task(self.watch_lags())
        await asyncio.sleep(WARM_UP_S)
        disturbed = asyncio.create_task(self.disturb(seconds))
        outcomes = await self.traffic(seconds, 0)
        await disturbed
        await asyncio.sleep(promises.RECOVERY_BOUND_S)
        outcomes += await self.leave_in_calm()
        outcomes += await self.lose_readers_in_calm()
        at_rest = await self.traffic(REST_S, 2 * self.fleet.callers)
        watching.cancel()
        for each in self.daemons:
            each.note_memory()
        self.findings += verdict.findings(self, outcomes + at_rest, at_rest)
        # Connections that still stand are cut off with the loop, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return outcomes + at_rest

    def summary_of_refusals(self):
        replicas = self.replicas + self.gone
        refused = sum(each.refusals for each in replicas)
        copied = sum(each.copied_refusals for each in replicas)
        return f"refusals by replicas: {refused}, copies beside a run: {copied}"

    def summary_of_crowds(self):
        statuses = sorted({got.status for got in self.crowds.answers})
        peaks = [peak for each in self.daemons for _, peak in each.memory_peaks]
        most_mb = max(peaks) / BYTES_PER_MB
        return f"crowds were answered {statuses}; most memory: {most_mb:.0f} MB"

    def close(self):
        for each in self.daemons:
            each.kill()


def summary(outcomes):
    counts = {}
    for got in outcomes:
        word = "whole" if got.status == 200 and got.whole else str(got.status)
        counts[word] = counts.get(word, 0) + 1
    return ", ".join(f"{word} {count}" for word, count in sorted(counts.items()))


def report(findings):
    for each in findings:
        by_old = each.build == promises.OLD_BUILD
        print(f"broken{' by the old build' if by_old else ''}: {each.text}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=20, help="time with faults")
    parser.add_argument("--program", default="build/plain/bin/sapphirereel_entry")
    parser.add_argument(
        "--old-program",
        help="an earlier build: daemons start with it and are replaced one after the "
        "other, half of them taken back later; what it alone breaks fails no run",
    )
    parser.add_argument(
        "--scale", type=int, default=1, choices=range(1, MOST_SCALE + 1),
        help="so many times the daemons, replicas and callers",
    )
    parser.add_argument(
        "--fleet", metavar="DAEMONS,PLAIN,MODELS,CALLERS",
        help="so many of each, in place of --scale; faults come as for a scale of 1",
    )
    parser.add_argument("--logs", help="folder for the daemons' logs; kept")
    options = parser.parse_args()
    folder = options.logs or tempfile.mkdtemp(prefix="sapphirereel-soak-")
    os.makedirs(folder, exist_ok=True)
    new = Build("new", options.program)
    old = None
    if options.old_program:
        old = Build(promises.OLD_BUILD, options.old_program)
    fleet = Fleet.of_text(options.fleet) if options.fleet else None
    soak = Soak(options.seed, folder, new, old, options.scale, fleet)
    try:
        outcomes = asyncio.run(soak.run(options.seconds))
    finally:
        soak.close()
    print(f"seed {options.seed}: {len(outcomes)} requests: {summary(outcomes)}")
    print(soak.summary_of_refusals())
    print(soak.summary_of_crowds())
    report(soak.findings)
    print(f"logs: {folder}")
    return 1 if promises.fails(soak.findings) else 0


if __name__ == "__main__":
    sys.exit(main())
