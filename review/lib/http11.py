"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio


class Broken(Exception):
    """The other side ended or spoiled a message."""


class Message:
    def __init__(self, start, fields):
        self.start = start
        self.fields = fields
        self.body = b""

    @property
    def status(self):
        parts = self.start.split(" ")
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


async def read_head(reader):
    """The next head; None at a clean end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise Broken("cut in the head") from None
        return None
    except (OSError, asyncio.LimitOverrunError) as why:
        raise Broken(str(why)) from None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def parts(reader, head):
    """The body as it comes; raises Broken where it ends early."""
    try:
        if head.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield part[:-2]
        left = int(head.fields.get("content-length", "0"))
        while left:
            part = await reader.read(min(left, 65_536))
            if not part:
                raise Broken("cut in the body")
            left -= len(part)
            yield part
    except (asyncio.IncompleteReadError, OSError, ValueError) as why:
        raise Broken(str(why)) from None


async def read_message(reader):
    head = await read_head(reader)
    if head is not None:
        async for part in parts(reader, head):
            head.body += part
    return head


def _write(first, fields, body, chunked):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append("Transfer-Encoding: chunked" if chunked
                 else f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def request(method, target, fields, body=b""):
    return _write(f"{method} {target} HTTP/1.1", fields, body, False)


def answer(status, fields=None, body=b"", chunked=False):
    return _write(f"HTTP/1.1 {status} X", fields or {}, body, chunked)


def chunk(part):
    return f"{len(part):x}\r\n".encode() + part + b"\r\n"
