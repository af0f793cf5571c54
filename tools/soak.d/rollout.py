"""A change of builds: daemons are replaced one after the other, half taken back."""

import asyncio

REPLACED_BY = 0.55
TAKEN_BACK_BY = 0.9


class Rollout:
    def __init__(self, daemons, faults, old, new, note):
        self._daemons = daemons
        self._faults = faults
        self._old = old
        self._new = new
        self._note = note

    async def run(self, seconds):
        pause_s = seconds * REPLACED_BY / len(self._daemons)
        await self._replace(self._daemons, self._new, pause_s)
        half = self._daemons[::2]
        pause_s = seconds * (TAKEN_BACK_BY - REPLACED_BY) / len(half)
        await self._replace(half, self._old, pause_s)

    async def _replace(self, daemons, build, pause_s):
        loop = asyncio.get_running_loop()
        for daemon in daemons:
            due = loop.time() + pause_s
            while not self._faults.is_free(daemon):
                await asyncio.sleep(0.05)
            self._note(f"{build.name} build {daemon.name}")
            await self._faults.alone(daemon, lambda each: self._start(each, build))
            await asyncio.sleep(max(0, due - loop.time()))

    async def _start(self, daemon, build):
        await self._faults.end(daemon)
        daemon.build = build
        daemon.start()
