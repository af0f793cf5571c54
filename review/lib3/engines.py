"""Replicas of a model service: streams of numbered events, copies of runs at other replicas,
and the order that moves or stops a run."""

import asyncio
import json
import time

import http11
from replicas import Replica

EVENT_S = 0.04
COPY_S = 0.25
HANDLE_S = 5.0
MOVE_S = 0.03


class Run:
    """A request's run at one replica, from its first moment to the end of its work."""

    def __init__(self, request_id, at, fields):
        self.request_id, self.at, self.fields = request_id, at, fields
        self.began, self.ended = time.monotonic(), None
        self.made, self.is_stopped, self.is_heard = 0, False, True
        self.is_continued = "kv-from" in fields


class Engine(Replica):
    # All engines by address; they send copies to each other.
    by_address = {}

    def __init__(self, *terms, events, **more):
        super().__init__(*terms, slots=24, **more)
        self.events = events
        # Each run that began here, and those at work by request id.
        self.all_runs, self.at_work = [], {}
        # Whether it drops a run whose connection has ended, as most replicas do.
        self.drops = True
        # Copies by name: events made, and when they are gone.
        self.copies = {}
        self.orders = []

    async def open(self, ip, port=0):
        await super().open(ip, port)
        Engine.by_address[self.address] = self

    def keep(self, name, made):
        self.copies[name] = (made, time.monotonic() + HANDLE_S)

    def _take_copy(self, memory):
        made, until = self.copies.pop(memory.partition("/")[2], (0, 0))
        return made if until > time.monotonic() else None

    # Requests.

    async def take(self, first, fields, body, writer):
        if first.startswith("POST /-/kv-move "):
            self.orders.append(time.monotonic())
            await self.take_order(json.loads(body), writer)
            return
        await super().take(first, fields, body, writer)

    async def run(self, request_id, first, fields, body, writer):
        start = int(fields.get("last-event-id", "0"))
        if "kv-from" in fields and self._take_copy(fields["kv-from"]) is None:
            self.runs.pop()
            writer.write(self.refusal(503, fields))
            return
        mine = Run(request_id, self, fields)
        mine.made = start
        self.all_runs.append(mine)
        self.at_work[request_id] = mine
        try:
            told = self.success(request_id) | {
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
            }
            writer.write(http11.head("HTTP/1.1 200 OK", told))
            await self._generate(mine, writer)
        finally:
            mine.ended = time.monotonic()
            if self.at_work.get(request_id) is mine:
                del self.at_work[request_id]

    async def _generate(self, mine, writer):
        holder = Engine.by_address.get(mine.fields.get("x-sapphirereel-kv-backup"))
        copied_at = 0.0
        break_at = self.break_after()
        while mine.made < self.events:
            await asyncio.sleep(EVENT_S)
            if writer.is_closing():
                mine.is_heard = False
            if mine.is_stopped or not self.is_up or (not mine.is_heard and self.drops):
                writer.close()
                return
            mine.made += 1
            if mine.is_heard:
                event = b"id: %d\ndata: %s %d\n\n" % (mine.made, mine.request_id.encode(), mine.made)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if mine.made == break_at and mine.is_heard:
                self.record(f"{self.id}: breaks off the stream of {mine.request_id}")
                mine.is_heard = False
                writer.transport.abort()
            if holder is not None and time.monotonic() - copied_at > COPY_S:
                copied_at = time.monotonic()
                holder.keep(mine.request_id, mine.made)
        if holder is not None:
            holder.copies.pop(mine.request_id, None)
        if mine.is_heard:
            writer.write(b"0\r\n\r\n")

    def break_after(self):
        """After which event a stream is broken off; None: it isn't."""
        return None

    # Orders.

    async def take_order(self, order, writer):
        mine = self.at_work.get(order["id"])
        if mine is None or mine.is_stopped:
            writer.write(http11.answer(404))
            return
        if order["last"]:
            mine.is_stopped = True
        await asyncio.sleep(MOVE_S)
        handle = f"h-{mine.request_id}-{mine.made}"
        told = {"handle": handle, "create-rev": mine.made}
        if order["last"]:
            self.keep(handle, mine.made)
        to = Engine.by_address.get(order["to"])
        if to is None or not to.is_up:
            writer.write(http11.answer(503, body=json.dumps(told if order["last"] else {}).encode()))
            return
        to.keep(handle, mine.made)
        writer.write(http11.answer(200, body=json.dumps(told).encode()))
