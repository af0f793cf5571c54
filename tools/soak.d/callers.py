"""Callers: they ask for addresses, send requests, and note what they got."""

import asyncio
import json
import random
import time
from dataclasses import dataclass

import http11

ADDRESS_LIFE_S = 2.0
PATIENCE_S = 6.0
MOST_RECONNECTS = 3


@dataclass
class Outcome:
    """What one attempt of a caller came to."""

    id: str
    kind: str
    key: str
    daemon: str
    sent_at: float
    # 0 where the connection ended without an answer.
    status: int = 0
    signature: str = ""
    body: bytes = b""
    # Whether the answer ended as its framing says.
    whole: bool = False
    # The number of the last event that the caller had received before.
    after: int = 0

    @property
    def position(self):
        """The number of the last whole event received so far."""
        return self.after + self.body.count(b"\n\n")


async def ask(daemon, kind, key, request_id, target=None, after=0):
    """One attempt at one daemon."""
    got = Outcome(request_id, kind, key, daemon, time.monotonic(), after=after)
    fields = {
        "Host": "h", "X-Sapphirereel-Request-Id": request_id,
        "X-Sapphirereel-Credential": key,
        "X-Sapphirereel-Deadline-Ms": int(PATIENCE_S * 1_000),
        "X-Sapphirereel-Tenant": "forged", "X-Sapphirereel-Token-Count": "200,30",
    }
    if after:
        fields["Last-Event-Id"] = after
    elif kind == "stream":
        # Has no effect on a route whose streams do not resume.
        fields["Last-Event-Id"] = 7
    writer = None
    try:
        async with asyncio.timeout(PATIENCE_S + 1):
            host, port = daemon.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            method = "GET" if kind == "safe" else "POST"
            writer.write(http11.request(method, target or f"/{kind}/a", fields))
            head = await http11.read_head(reader)
            if head is None:
                return got
            got.status = int(head.start[1])
            got.signature = head.fields.get("x-sapphirereel-response-signature", "")
            async for part in http11.body_parts(reader, head):
                got.body += part
            got.whole = True
    except (http11.Broken, TimeoutError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return got


class Caller:
    """One caller; sends one request after the other until told to stop."""

    def __init__(self, number, seed, directories, keys):
        self.outcomes = []
        self._number = number
        self._random = random.Random(seed * 1_000 + number)
        self._directories = directories
        self._keys = keys
        self._addresses = []
        self._asked_at = -ADDRESS_LIFE_S

    async def run(self, until):
        count = 0
        while time.monotonic() < until:
            await self._refresh()
            count += 1
            kind = self._random.choice(
                ["safe", "unsafe", "unsafe", "stream", "resume"]
            )
            if self._addresses:
                await self._send(kind, f"c{self._number}-{count}")
            await asyncio.sleep(self._random.uniform(0.01, 0.12))

    async def _send(self, kind, request_id):
        """One request; a stream that may resume is continued after a cut."""
        key = self._random.choice(self._keys)
        after = 0
        for attempt in range(1 + MOST_RECONNECTS):
            got = await ask(
                self._random.choice(self._addresses), kind, key,
                f"{request_id}-{attempt}", after=after,
            )
            self.outcomes.append(got)
            if kind != "resume" or got.whole or got.status not in (0, 200):
                return
            after = got.position

    async def _refresh(self):
        if time.monotonic() - self._asked_at < ADDRESS_LIFE_S:
            return
        for directory in self._random.sample(self._directories, 3):
            try:
                got = await http11.call(
                    directory, http11.request("GET", "/-/resolve?name=h", {"Host": "d"}), 1
                )
                listed = json.loads(got.body)["addresses"]
            except (http11.Broken, KeyError, ValueError):
                continue
            self._addresses = listed
            self._asked_at = time.monotonic()
            return

