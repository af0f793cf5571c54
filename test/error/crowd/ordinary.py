"""Ordinary callers, who stay inside the limits."""

import asyncio
import itertools
import time

import http11
import target

# After these, or without a response, a caller asks again.
AGAIN = {408, 429, 503}
TRY_S = 3.0
PAUSE_S = 0.05
# A longer time than any steady body here takes.
WHOLE_S = 20.0
_numbers = itertools.count(1)


def small(port):
    """An ordinary request at each port."""
    if port == "callers":
        return post(b"an ordinary body")
    path = {"directory": "/-/resolve?name=h", "readiness": "/-/ready",
            "peers": "/metrics", "sapphirereeld": "/addresses"}[port]
    return http11.request("GET", path, {"Host": "h"})


def post(body):
    fields = {
        "Host": "h", "X-Sapphirereel-Request-Id": f"{next(_numbers):016x}",
        "X-Sapphirereel-Deadline-Ms": target.PATIENCE_MS,
    }
    return http11.request("POST", "/safe/ordinary", fields, body)


async def until(condition):
    """Waits until an asynchronous condition holds, at most SERVED_WITHIN_S."""
    end = time.monotonic() + target.SERVED_WITHIN_S
    while not await condition() and time.monotonic() < end:
        await asyncio.sleep(PAUSE_S)


async def served(address, port):
    """Asks until it is answered with 200; what happened instead, or none."""
    last = await _asked(address, lambda: small(port))
    return last and f"an ordinary request at the port of {port} got {last}"


async def whole_served(address):
    """The same for a body of the largest size."""
    last = await _asked(address, lambda: post(b"x" * target.BODY_LIMIT))
    return last and f"a body of {target.BODY_LIMIT} bytes got {last}"


async def _asked(address, next_request):
    end = time.monotonic() + target.SERVED_WITHIN_S
    last = "no try"
    while time.monotonic() < end:
        try:
            answer = await http11.call(address, next_request(), TRY_S)
            last = http11.status_of(answer)
            if last == 200:
                return None
            if last not in AGAIN:
                break
        except http11.Broken as why:
            last = why
        await asyncio.sleep(PAUSE_S)
    return str(last)


async def steady(address, size, in_s):
    """Sends one body steadily, without another try; what happened instead of
    200, or none."""
    raw = post(b"x" * size)
    pieces = max(1, int(in_s * 10))
    step = -(-len(raw) // pieces)
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(in_s + WHOLE_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            for at in range(0, len(raw), step):
                writer.write(raw[at : at + step])
                await writer.drain()
                if in_s:
                    await asyncio.sleep(in_s / pieces)
            answer = await http11.read_message(reader)
            writer.close()
    except (OSError, TimeoutError, http11.Broken) as why:
        return f"a body of {size} bytes sent over {in_s} s got {why!r}"
    status = http11.status_of(answer) if answer else "a closed connection"
    if status == 200:
        return None
    return f"a body of {size} bytes sent over {in_s} s got {status}"
