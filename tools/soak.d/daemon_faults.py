"""Faults of one daemon's process: single ones, and series that overlap."""

import asyncio
import signal
import time

from daemons import GRACE_S

LONGEST_SERIES = 3


class DaemonFaults:
    """Each fault undoes itself; only one at a time has a daemon's process."""

    def __init__(self, random, findings, publish):
        self._random = random
        self._findings = findings
        # Writes a next version of the configuration.
        self._publish = publish
        self._busy = set()

    def all(self):
        return {
            "kill": self.kill,
            "pause": self.pause,
            "starve": self.starve,
            "stop": self.stop,
            "hang up": self.hang_up,
            "cut store": self.cut_store,
            "hang up and stop": self.hang_up_and_stop,
            "kill in a stop": self.kill_in_a_stop,
            "change in a cut": self.change_in_a_cut,
            "hang ups": self.hang_ups,
            "restarts": self.restarts,
        }

    def is_free(self, daemon):
        return daemon.is_calm(0) and daemon not in self._busy

    async def alone(self, daemon, fault):
        """One fault of a daemon's process at a time; links may fail meanwhile."""
        self._busy.add(daemon)
        try:
            await fault(daemon)
        finally:
            self._busy.discard(daemon)

    async def kill(self, daemon):
        daemon.send(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.3, 2))
        daemon.start()

    async def pause(self, daemon):
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.3, 3))
        daemon.send(signal.SIGCONT)

    async def starve(self, daemon):
        """Gives the process an eighth of each tenth of a second, as a quota does."""
        until = time.monotonic() + self._random.uniform(0.5, 3)
        while time.monotonic() < until:
            daemon.send(signal.SIGSTOP)
            await asyncio.sleep(0.088)
            daemon.send(signal.SIGCONT)
            await asyncio.sleep(0.012)

    async def stop(self, daemon):
        await self.end(daemon)
        daemon.start()

    async def end(self, daemon):
        """Stops the process within its time of grace."""
        daemon.send(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while not daemon.ended() and time.monotonic() < until:
            await asyncio.sleep(0.1)
        if not daemon.ended():
            self._findings.append(daemon.finding(f"did not stop in {GRACE_S} s"))
            daemon.kill()

    async def hang_up(self, daemon):
        daemon.send(signal.SIGHUP)
        await asyncio.sleep(0.2)

    async def cut_store(self, daemon):
        self._cut_link(daemon)
        await asyncio.sleep(self._random.uniform(0.5, 4))
        self._mend_link(daemon)

    def _cut_link(self, daemon):
        daemon.touch()
        daemon.proxy.mode = self._random.choice(["cut", "cut_out", "cut_back", "delay"])

    def _mend_link(self, daemon):
        daemon.proxy.mode = "open"
        daemon.proxy.reset()
        daemon.touch()

    async def hang_up_and_stop(self, daemon):
        daemon.send(signal.SIGHUP)
        await asyncio.sleep(self._random.uniform(0, 0.05))
        await self.stop(daemon)

    async def kill_in_a_stop(self, daemon):
        daemon.send(signal.SIGTERM)
        await asyncio.sleep(self._random.uniform(0, 1.5))
        await self.kill(daemon)

    async def change_in_a_cut(self, daemon):
        """Versions that the daemon learns of late, with a SIGHUP between them."""
        self._cut_link(daemon)
        for _ in range(self._random.randint(1, 3)):
            await asyncio.sleep(self._random.uniform(0, 1))
            await self._publish()
            daemon.send(signal.SIGHUP)
        await asyncio.sleep(self._random.uniform(0, 1))
        self._mend_link(daemon)

    async def hang_ups(self, daemon):
        for _ in range(self._random.randint(2, LONGEST_SERIES)):
            daemon.send(signal.SIGHUP)
            await asyncio.sleep(self._random.uniform(0, 0.1))

    async def restarts(self, daemon):
        """Each stop comes while the process still starts, or soon after."""
        for _ in range(self._random.randint(2, LONGEST_SERIES)):
            await self.stop(daemon)
            await asyncio.sleep(self._random.uniform(0, 0.5))
