"""Crowds of clients that do not behave, each at one port of one daemon."""

import asyncio
import itertools
import time
from dataclasses import dataclass

import http11
from configuration import MOST_BODY_BYTES

FEWEST, MOST = 8, 16
SHORTEST_S, LONGEST_S = 1.0, 2.0
# What the directory's port takes, whose limits no configuration sets.
MOST_BODY_BYTES_OF_DIRECTORY = 4 * 1_024 * 1_024
CHUNK_BYTES = 65_536
SHORT_BY_BYTES = 10
SMALL_CHUNKS = 262_144
FAR_TOO_LONG = 99_999_999_999

# The target of the requests at each port.
CALLERS, DIRECTORY, READY, PEERS = "/unsafe/a", "/-/resolve?name=h", "/", "/"
_numbers = itertools.count(1)


@dataclass(frozen=True)
class CrowdAnswer:
    """What a client of a crowd was answered."""

    daemon: str
    kind: str
    status: int
    build: str = ""


def head(target, framing):
    fields = {
        "Host": "h", "X-Sapphirereel-Request-Id": f"crowd-{next(_numbers)}",
        "X-Sapphirereel-Credential": "key-1", **framing,
    }
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(target):
    return head(target, {"Transfer-Encoding": "chunked"})


def announced(target, _):
    """A length far over the limit, and bytes without end."""
    yield head(target, {"Content-Length": FAR_TOO_LONG})
    yield from itertools.repeat(b"x" * CHUNK_BYTES)


def endless(target, _):
    """Chunks without end."""
    yield chunked(target)
    yield from itertools.repeat(http11.chunk(b"x" * CHUNK_BYTES))


def over(target, limit):
    """A whole body in chunks, just over the limit."""
    yield chunked(target)
    whole, rest = divmod(limit + 1, CHUNK_BYTES)
    yield from itertools.repeat(http11.chunk(b"x" * CHUNK_BYTES), whole)
    yield http11.chunk(b"x" * rest) + http11.chunk(b"")


def short_of_the_end(target, limit):
    """Chunks up to just under the limit; their end doesn't come."""
    yield chunked(target)
    whole, rest = divmod(limit - SHORT_BY_BYTES, CHUNK_BYTES)
    yield from itertools.repeat(http11.chunk(b"x" * CHUNK_BYTES), whole)
    yield http11.chunk(b"x" * rest)


def length_short_of_the_end(target, limit):
    """A body of the longest length that is permitted, without its last bytes."""
    yield head(target, {"Content-Length": limit})
    whole, rest = divmod(limit - SHORT_BY_BYTES, CHUNK_BYTES)
    yield from itertools.repeat(b"x" * CHUNK_BYTES, whole)
    yield b"x" * rest


def small_chunks(target, _):
    """Chunks of one byte; their end doesn't come."""
    yield chunked(target)
    a_time = CHUNK_BYTES // 8
    yield from itertools.repeat(http11.chunk(b"x") * a_time, SMALL_CHUNKS // a_time)


def endless_head(target, _):
    yield head(target, {})[:-2]
    yield from (f"X-{at}: {'x' * 500}\r\n".encode() for at in itertools.count())


def silent(*_):
    return ()


# Most stop short of their end.
KINDS = (
    short_of_the_end, short_of_the_end, length_short_of_the_end, small_chunks,
    announced, endless, over, endless_head, silent,
)


class Crowds:
    """Draws crowds; notes what their clients were answered."""

    def __init__(self, random):
        self.random = random
        self.answers = []
        # Kinds that are still to come before any comes again.
        self._kinds = []

    def next(self, daemon):
        """What comes next at a daemon: its name, and the crowd to run."""
        if not self._kinds:
            self._kinds = self.random.sample(KINDS, len(KINDS))
        kind = self._kinds.pop()
        # Most come where callers do.
        at_callers = ("callers", daemon.callers, CALLERS, MOST_BODY_BYTES)
        port, address, target, limit = self.random.choice(
            [at_callers] * 3
            + [
                ("directory", daemon.directory, DIRECTORY, MOST_BODY_BYTES_OF_DIRECTORY),
                ("ready", daemon.ready, READY, MOST_BODY_BYTES),
                ("peers", daemon.peers, PEERS, MOST_BODY_BYTES),
            ]
        )
        count = self.random.randint(FEWEST, MOST)
        seconds = self.random.uniform(SHORTEST_S, LONGEST_S)
        name = f"crowd of {count}, {kind.__name__}, at {daemon.name} {port}"
        return name, lambda: self._run(
            daemon, address, f"{kind.__name__} at {port}", seconds,
            [kind(target, limit) for _ in range(count)],
        )

    async def _run(self, daemon, address, what, seconds, clients):
        until = time.monotonic() + seconds

        def note(status):
            build = daemon.build_at(time.monotonic())
            self.answers.append(CrowdAnswer(daemon.name, what, status, build))

        await asyncio.gather(*(client(address, each, until, note) for each in clients))
        daemon.note_memory()


async def client(address, parts, until, note):
    """Sends what it has, and stays until its connection ends or the time is over."""
    host, port = address.rsplit(":", 1)
    writer = sending = None
    try:
        async with asyncio.timeout(until - time.monotonic()):
            reader, writer = await asyncio.open_connection(host, int(port))
            sending = asyncio.create_task(send(writer, parts))
            while (got := await http11.read_message(reader)) is not None:
                note(http11.status_of(got))
    except (http11.Broken, TimeoutError, OSError):
        pass
    finally:
        if sending is not None:
            sending.cancel()
        if writer is not None:
            writer.transport.abort()


async def send(writer, parts):
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
            # Others take their turn even where the other side reads at once.
            await asyncio.sleep(0)
    except OSError:
        pass
