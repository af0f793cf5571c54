"""How large a soak is, and the addresses of its daemons."""

from dataclasses import dataclass

DAEMONS = 6
REPLICAS = {"plain": 5, "engine": 5}
CALLERS = 40
# Last numbers of loopback addresses; the rest are the replicas'.
ADDRESSES_OF_A_NET = 240


@dataclass(frozen=True)
class Fleet:
    """How many there are of each."""

    daemons: int
    replicas: dict
    callers: int

    @staticmethod
    def of_scale(scale):
        replicas = {name: count * scale for name, count in REPLICAS.items()}
        return Fleet(DAEMONS * scale, replicas, CALLERS * scale)

    @staticmethod
    def of_text(text):
        """From "DAEMONS,PLAIN,MODELS,CALLERS"."""
        daemons, plain, models, callers = map(int, text.split(","))
        return Fleet(daemons, {"plain": plain, "engine": models}, callers)


def addresses(base, count):
    """Loopback addresses, in as many nets from `base` on as are needed."""
    net, _, last = base.rpartition(".")
    return [
        f"{net}.{(int(last) + at // ADDRESSES_OF_A_NET) % 256}"
        f".{at % ADDRESSES_OF_A_NET + 1}"
        for at in range(count)
    ]
