"""Model replicas that break streams off, may work on, and leave the orders that move
or stop runs without an answer; all else they answer."""

import asyncio

# Of all orders and streams while it lasts; see model_replicas.
MODE = "silent orders"
LONGEST_S, LONGEST_PAUSE_S = 5.0, 3.0


class SilentOrders:
    def __init__(self, random):
        self._random = random

    async def run(self, replica):
        """One replica falls silent to orders for a while."""
        replica.mode = MODE
        await asyncio.sleep(self._random.uniform(0.5, LONGEST_S))
        if replica.mode == MODE:
            replica.mode = "well"

    def next(self, replicas):
        """A model replica at which nothing else is wrong; None if there is none."""
        well = [each for each in replicas if each.service == "engine" and each.mode == "well"]
        return self._random.choice(well) if well else None

    def pause_s(self):
        return self._random.uniform(0.1, LONGEST_PAUSE_S)
