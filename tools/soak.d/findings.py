"""A promise found broken."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    text: str
    # The build of the daemon that answered; empty where none is known.
    build: str = ""
