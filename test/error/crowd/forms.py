"""What a client of a crowd sends: pieces of bytes, one after the other."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import target

CHUNK = 65_536
# What a client sends that has no end: over the limit of a body, and an amount that
# a machine that runs tests has room for.
ENDLESS = 4 * target.BODY_LIMIT
# How far from its end a body stops.
SHORT_BY = 10
ONE_BYTE_CHUNKS = 1 << 20
EXTENSION = 2_048
HEAD_BYTES = 15_000
PIPELINED = 4_000


@dataclass(frozen=True)
class Form:
    """How clients of one kind behave."""

    pieces: Callable[[str], Iterator[bytes]]
    clients: int = target.CLIENTS
    reads: bool = True
    # Responses that it may get beside refusals.
    may_get: frozenset = frozenset({100})


def head(path, *fields):
    lines = [
        f"POST {path} HTTP/1.1", "Host: h",
        "X-Sapphirereel-Request-Id: c0ffee00c0ffee00",
        f"X-Sapphirereel-Deadline-Ms: {target.PATIENCE_MS}", *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


CHUNKED = "Transfer-Encoding: chunked"


def _bytes(count):
    piece = b"x" * CHUNK
    for at in range(0, count, CHUNK):
        yield piece[: count - at]


def announced(path, *more):
    yield head(path, "Content-Length: 99999999999", *more)
    yield from _bytes(ENDLESS)


def expecting(path):
    return announced(path, "Expect: 100-continue")


def one_chunk(path):
    yield head(path, CHUNKED) + b"ffffffff\r\n"
    yield from _bytes(ENDLESS)


def endless_chunks(path):
    yield head(path, CHUNKED)
    piece = chunk(CHUNK)
    for _ in range(ENDLESS // CHUNK):
        yield piece


def short_chunks(path):
    """Ends ten bytes before the limit of a body, within a chunk."""
    yield head(path, CHUNKED)
    whole = target.BODY_LIMIT // CHUNK - 1
    for _ in range(whole):
        yield chunk(CHUNK)
    yield chunk(CHUNK)[: -SHORT_BY - 2]


def short_length(path):
    yield head(path, f"Content-Length: {target.BODY_LIMIT}")
    yield from _bytes(target.BODY_LIMIT - SHORT_BY)


def one_byte_chunks(path):
    yield head(path, CHUNKED)
    some = chunk(1) * 8_192
    for _ in range(ONE_BYTE_CHUNKS // 8_192):
        yield some


def extensions(path):
    yield head(path, CHUNKED)
    piece = b"1;e=" + b"x" * EXTENSION + b"\r\nx\r\n"
    for _ in range(target.BODY_LIMIT // EXTENSION):
        yield piece


def endless_head(path):
    yield head(path)[:-2] + b"X-More: " + b"x" * HEAD_BYTES


def pipelined(path):
    request = head(path, "Content-Length: 1") + b"x"
    for _ in range(PIPELINED // 100):
        yield request * 100


def whole(path):
    yield head(path, f"Content-Length: {target.BODY_LIMIT}")
    yield from _bytes(target.BODY_LIMIT)


_idle_numbers = itertools.count()


def idle(path):
    """Every other client sends half a head; the rest send nothing."""
    if next(_idle_numbers) % 2:
        yield head(path)[:40]


_turns = itertools.cycle(
    [announced, expecting, one_chunk, extensions, endless_head]
)


def mixed(path):
    """Clients take turns among the forms that a process refuses early."""
    return next(_turns)(path)


FORMS = {
    "announced": Form(announced),
    "expecting": Form(expecting),
    "one_chunk": Form(one_chunk),
    "endless_chunks": Form(endless_chunks),
    "short_chunks": Form(short_chunks),
    "short_length": Form(short_length),
    "one_byte_chunks": Form(one_byte_chunks),
    "extensions": Form(extensions),
    "endless_heads": Form(endless_head),
    "pipelined": Form(pipelined, reads=False),
    "whole_unanswered": Form(whole),
    "mixed": Form(mixed),
    "idle": Form(idle, clients=target.IDLE_CLIENTS),
}
