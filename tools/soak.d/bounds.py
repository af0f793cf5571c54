"""The bounds of the users' pages, which grow with the size of a deployment."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bounds:
    """In seconds: until a version is in force, until a leaving replica gets nothing
    more, and without a disturbance until a daemon and the store count as stable."""

    configuration: float
    drain: float
    stable: float

    @staticmethod
    def of_daemons(count):
        if count < 58:
            return Bounds(configuration=2.0, drain=2.0, stable=3.0)
        if count <= 100:
            return Bounds(configuration=3.0, drain=3.0, stable=4.0)
        return Bounds(configuration=4.0, drain=4.0, stable=5.0)
