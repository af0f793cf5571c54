"""The loss of the daemons that read the store for all others, in different ways,
with a version and a leaving replica right after it."""

import asyncio
import signal

READERS = 3
# From the loss to what the others must learn of.
TOLD_AFTER_S = 0.05
# Lost in turn: whoever takes the place of the last ones.
ROUNDS, ROUND_S = 3, 0.5


def in_order(daemons):
    """Daemons as they come to read: the first of each zone, then the second."""
    ranks = {}
    ordered = []
    for each in sorted(daemons, key=lambda daemon: (daemon.zone, daemon.ip)):
        ranks[each.zone] = ranks.get(each.zone, -1) + 1
        ordered.append((ranks[each.zone], each.zone, each.ip, each))
    return [daemon for *_, daemon in sorted(ordered, key=lambda entry: entry[:3])]


class LostReaders:
    """Loses readers, and returns them."""

    def __init__(self, random, daemons):
        self._random = random
        self._daemons = daemons

    def kinds(self):
        return {
            "killed": self._kill,
            "frozen": self._freeze,
            "cut off": self._cut,
            "killed in turn": self._kill_in_turn,
            "half of all killed": self._kill_half,
        }

    def next(self):
        """How readers are lost next; the function loses them and returns them."""
        return self._random.choice(sorted(self.kinds().items()))

    def up(self):
        return in_order([each for each in self._daemons if not each.ended()])

    async def _kill(self):
        return self._kill_all(self.up()[:READERS])

    async def _freeze(self):
        lost = self.up()[:READERS]
        for each in lost:
            each.send(signal.SIGSTOP)
        return lost

    async def _cut(self):
        lost = self.up()[:READERS]
        for each in lost:
            each.touch()
            each.proxy.mode = "cut"
        return lost

    async def _kill_in_turn(self):
        lost = []
        for _ in range(ROUNDS):
            # One is left to tell the tale.
            lost += self._kill_all(self.up()[:READERS][: len(self.up()) - 1])
            await asyncio.sleep(ROUND_S)
        return lost

    async def _kill_half(self):
        up = self.up()
        return self._kill_all(up[: len(up) // 2])

    def _kill_all(self, lost):
        for each in lost:
            each.send(signal.SIGKILL)
        return lost

    def bring_back(self, lost):
        for each in lost:
            if each.ended():
                each.start()
            elif each.proxy.mode != "open":
                each.proxy.mode = "open"
                each.proxy.reset()
                each.touch()
            else:
                each.send(signal.SIGCONT)
