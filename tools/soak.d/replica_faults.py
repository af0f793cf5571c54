"""Faults of replicas that stay registered; each undoes itself."""

import asyncio


class ReplicaFaults:
    def __init__(self, random):
        self._random = random

    async def disturb(self, replica):
        body_fault = "cut" if replica.service == "engine" else "garble"
        mode = self._random.choice(["hang", "reset", "error", body_fault])
        await self._in_mode([replica], mode, self._random.uniform(0.3, 2))

    async def spoil_answers(self, replicas, mode):
        """Some replicas answer wrongly in the same way, as after a faulty update."""
        await self._in_mode(replicas, mode, self._random.uniform(1, 4))

    async def _in_mode(self, replicas, mode, seconds):
        for each in replicas:
            each.mode = mode
        await asyncio.sleep(seconds)
        for each in replicas:
            each.mode = "well"

    async def cut(self, replica):
        """Disturbs the link between the replica and all daemons."""
        replica.proxy.mode = self._random.choice(["cut", "cut_out", "cut_back", "delay"])
        await asyncio.sleep(self._random.uniform(0.3, 2))
        replica.proxy.mode = "open"
        replica.proxy.reset()

    async def turn_cold(self, replica):
        replica.turn_cold()
