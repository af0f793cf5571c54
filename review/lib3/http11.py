"""HTTP/1.1 on asyncio streams, as far as the stand-ins and clients of the cases need it."""

import asyncio


class Broken(Exception):
    """The other side closed, reset or spoiled a message."""


async def read_head(reader):
    """First line and fields (names in lower case); None at an orderly end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise Broken("cut in the head") from None
        return None
    except (OSError, asyncio.LimitOverrunError) as why:
        raise Broken(repr(why)) from None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def body_parts(reader, fields):
    """The parts of a body as they arrive; raises Broken where it is cut."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield part[:-2]
        length = int(fields.get("content-length", "0"))
        if length:
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError) as why:
        raise Broken(repr(why)) from None


async def read_body(reader, fields):
    body = b""
    async for part in body_parts(reader, fields):
        body += part
    return body


def head(first, fields):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request(method, target, fields, body=b""):
    return head(f"{method} {target} HTTP/1.1", fields | {"Content-Length": len(body)}) + body


def answer(status, fields=None, body=b""):
    return head(f"HTTP/1.1 {status} X", (fields or {}) | {"Content-Length": len(body)}) + body


async def call(address, bytes_out, limit_s):
    """One call on a connection of its own: status, fields, body; or Broken."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(bytes_out)
            got = await read_head(reader)
            if got is None:
                raise Broken("closed without an answer")
            status = int(got[0].split(" ")[1])
            return status, got[1], await read_body(reader, got[1])
    except TimeoutError:
        raise Broken("no answer in time") from None
    except OSError as why:
        raise Broken(repr(why)) from None
    finally:
        if writer is not None:
            writer.close()


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
