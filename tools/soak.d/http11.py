"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass, field

MOST_HEAD_BYTES = 65_536


class Broken(Exception):
    """The other side ended or spoiled a message."""


@dataclass
class Message:
    """A request or an answer; `start` is its first line in parts."""

    start: list[str]
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the body ended as its framing says.
    whole: bool = True


async def read_head(reader):
    """The head of the next message; none at a clean end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise Broken("cut in the head") from None
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as why:
        raise Broken(str(why)) from None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields)


async def body_parts(reader, head):
    """The parts of a body as they come; raises Broken where it is cut."""
    try:
        if head.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield part[:-2]
        length = int(head.fields.get("content-length", "0"))
        if length:
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as why:
        raise Broken(str(why)) from None


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    async for part in body_parts(reader, head):
        head.body += part
    return head


def status_of(head):
    """The status of an answer; 0 where the first line is none."""
    parts = head.start
    is_number = len(parts) > 1 and parts[1].isdigit()
    return int(parts[1]) if is_number else 0


def keep_alive_s(head):
    """The idle time that Keep-Alive states, if it does."""
    for term in head.fields.get("keep-alive", "").split(","):
        name, _, value = term.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value)
    return None


def retry_after_s(head):
    """After what time an answer asks to come back; none if it doesn't."""
    try:
        return float(head.fields.get("retry-after", ""))
    except ValueError:
        return None


def request(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer(status, fields=None, body=b"", chunked=False):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(
        "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(part):
    return f"{len(part):x}\r\n".encode() + part + b"\r\n"


async def call(address, bytes_out, limit_s):
    """One call on a connection of its own; the answer, or Broken."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(bytes_out)
            got = await read_message(reader)
            if got is None:
                raise Broken("closed without an answer")
            return got
    except (TimeoutError, OSError) as why:
        raise Broken(repr(why)) from None
    finally:
        if writer is not None:
            writer.close()
