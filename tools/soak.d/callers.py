"""Callers: they ask for addresses, send requests, and note what they got."""

import asyncio
import json
import math
import random
import time
from dataclasses import dataclass

import http11
from connection import Connection
from promises import NOT_RUN

ADDRESS_LIFE_S = 2.0
PATIENCE_S = 6.0
MOST_RECONNECTS = 3
LONGEST_RETURN_S = 1.0
# One caller in so many opens a connection for each request.
NEW_CONNECTION_CALLERS = 4
# Of the requests that are sent once more, so many bear the same id.
SAME_ID_SHARE = 0.5


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
    # The request that the answer names.
    answered_id: str = ""
    on_kept_connection: bool = False
    ended_at: float = 0.0
    # The name of the build of the daemon that was asked.
    build: str = ""
    # When the answer asks to come back, in seconds; none if it doesn't.
    retry_after_s: float | None = None
    # When its caller sent the same id again, after a refusal.
    sent_again_at: float = math.inf

    @property
    def is_sent_again(self):
        return self.sent_again_at < math.inf

    @property
    def position(self):
        """The number of the last whole event received so far."""
        return self.after + self.body.count(b"\n\n")


def request_fields(kind, key, request_id, after):
    fields = {
        "Host": "h", "X-Sapphirereel-Request-Id": request_id,
        "X-Sapphirereel-Credential": key,
        "X-Sapphirereel-Deadline-Ms": int(PATIENCE_S * 1_000),
        "X-Sapphirereel-Tenant": "forged", "X-Sapphirereel-Token-Count": "200,120",
    }
    if after:
        fields["Last-Event-Id"] = after
    elif kind == "stream":
        # Has no effect on a route whose streams do not resume.
        fields["Last-Event-Id"] = 7
    return fields


async def ask(connection, kind, key, request_id, target=None, after=0):
    """One attempt; the connection stays open where both sides allow it."""
    now = time.monotonic()
    got = Outcome(request_id, kind, key, connection.daemon, now, after=after)
    got.on_kept_connection = connection.carried > 0
    fields = request_fields(kind, key, request_id, after)
    method = "GET" if kind == "safe" else "POST"
    bytes_out = http11.request(method, target or f"/{kind}/a", fields)
    try:
        async with asyncio.timeout(PATIENCE_S + 1):
            await read_answer(connection, bytes_out, got)
    except (http11.Broken, TimeoutError, OSError):
        pass
    finally:
        got.ended_at = time.monotonic()
        if not got.whole:
            connection.close()
    return got


async def read_answer(connection, bytes_out, got):
    head = await connection.send(bytes_out)
    if head is None:
        return
    got.status = http11.status_of(head)
    got.signature = head.fields.get("x-sapphirereel-response-signature", "")
    got.retry_after_s = http11.retry_after_s(head)
    got.answered_id = head.fields.get("x-sapphirereel-request-id", "")
    async for part in connection.body_parts(head):
        got.body += part
    got.whole = True
    connection.end_answer(head)


async def ask_once(daemon, kind, key, request_id, target=None):
    """One attempt on a connection of its own."""
    connection = Connection(daemon)
    try:
        return await ask(connection, kind, key, request_id, target)
    finally:
        connection.close()


class Caller:
    """One caller; sends one request after the other until told to stop."""

    def __init__(self, number, seed, directories, keys, pause=1):
        self.outcomes = []
        # Answers that came while no request waited: daemon and status.
        self.stray = []
        self._number = number
        self._random = random.Random(seed * 1_000 + number)
        self._directories = directories
        self._keys = keys
        # How many times longer than usual it pauses.
        self._pause = pause
        self._addresses = []
        self._asked_at = -ADDRESS_LIFE_S
        self._keeps = number % NEW_CONNECTION_CALLERS != 0
        self._connection = None

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
            await asyncio.sleep(self._random.uniform(0.01, 0.12) * self._pause)
        self._drop_connection()

    async def _send(self, kind, request_id):
        """One request; a stream that may resume is continued after a cut, and what
        was refused with a time to come back is sent once more, some of it with the
        same id."""
        key = self._random.choice(self._keys)
        after, has_returned = 0, False
        refused = None
        for attempt in range(1 + MOST_RECONNECTS):
            attempt_id = f"{request_id}-{attempt}"
            if refused is not None and self._keeps_id(refused):
                attempt_id = refused.id
                refused.sent_again_at = time.monotonic()
            refused = None
            got = await ask(
                self._next_connection(), kind, key, attempt_id, after=after
            )
            self.outcomes.append(got)
            if got.retry_after_s is not None and not has_returned:
                has_returned, refused = True, got
                await asyncio.sleep(min(got.retry_after_s, LONGEST_RETURN_S))
                continue
            if kind != "resume" or got.whole or got.status not in (0, 200):
                return
            after = got.position

    def _keeps_id(self, refused):
        """Whether a request goes once more with its id, so that it may run once in
        all; one that may be repeated can have run before it was refused."""
        may_keep = refused.kind != "safe" and refused.status in NOT_RUN
        return may_keep and self._random.random() < SAME_ID_SHARE

    def _next_connection(self):
        """The open connection, until the process at its other end is gone."""
        address = self._random.choice(self._addresses)
        kept = self._connection
        if kept is None or not self._keeps or not kept.is_usable():
            self._drop_connection()
            self._connection = Connection(address)
        return self._connection

    def _drop_connection(self):
        if self._connection is not None:
            self._connection.close()
            daemon = self._connection.daemon
            self.stray += [(daemon, status) for status in self._connection.stray]
            self._connection = None

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

