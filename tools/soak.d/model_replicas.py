"""Model replicas: they keep copies of runs, take orders that move runs, run out of
memory, and may work on after their stream was cut."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import faulty_answers
import http11
import silent_orders
from replicas import CUT_SHARE, EVENTS, EVENT_PAUSE_S, Replica

TOKENS_OF_EVENT = 4
PROMPT_TOKENS = 200
# For some five runs, so that more of them preempt each other.
MEMORY_TOKENS = 1_500
# The engine serves so many requests at once, and queues as many.
BATCH = 24
HANDLE_LIFE_S = 5.0
LONGEST_TRANSFER_S = 0.08
ORDER_PATH = "/-/kv-move"
REPORT_PATH = "/-/report"

# Shares of the orders that a replica executes and doesn't answer, refuses, or takes
# for another request, while it answers wrongly.
LOST_ORDER, REFUSED_ORDER, UNKNOWN_ORDER = 0.3, 0.3, 0.1

# Every model replica by its address.
by_address = {}


@dataclass
class ModelRun:
    """A run at a replica, from its admission to its end."""

    run: object
    request_id: str
    made: int
    holder: str
    is_cut: bool = False
    is_stopped: bool = False
    is_moving: bool = False
    began: float = field(default_factory=time.monotonic)

    @property
    def tokens(self):
        return PROMPT_TOKENS + self.made * TOKENS_OF_EVENT


class ModelReplica(Replica):
    def __init__(self, *terms, drops=True, **more):
        super().__init__(*terms, **more)
        # Whether it drops a run whose connection has ended.
        self.drops = drops
        self._runs = {}
        # Copies by source and handle: the moment after which they are gone.
        self._copies = {}

    async def open(self, ip, store, port=0):
        await super().open(ip, store, port)
        by_address[self.proxy.address] = self

    # Copies.

    def keep_copy(self, memory):
        self._copies[memory] = time.monotonic() + HANDLE_LIFE_S

    def _take_copy(self, memory):
        """Whether it holds a copy, which can be used once."""
        return self._copies.pop(memory, 0) > time.monotonic()

    def _is_reached(self):
        return self.mode not in ("gone", "hang") and self.proxy.mode == "open"

    # Requests.

    async def _run(self, asked, writer, earlier):
        if asked.start[1] == ORDER_PATH:
            await self._take_order(asked, writer)
            return
        if asked.start[1] == REPORT_PATH:
            await self._report(writer)
            return
        await super()._run(asked, writer, earlier)

    def _refuses(self, asked):
        memory = asked.fields.get("kv-from")
        if memory is not None:
            return not self._take_copy(memory)
        return len(self._runs) >= 2 * BATCH

    def _is_continuation(self, asked):
        return "kv-from" in asked.fields

    async def _stream(self, run, request_id, after, fields, writer):
        asked = run.asked
        if self._is_continuation(asked):
            after = int(asked.fields["last-event-id"])
        holder = asked.fields.get("x-sapphirereel-kv-backup", "")
        mine = ModelRun(run, request_id, after, holder)
        self._runs[request_id] = mine
        run.status = 200
        try:
            head = fields | {"Content-Type": "text/event-stream"}
            self._write(mine, writer, http11.answer(200, head, chunked=True))
            await self._generate(mine, writer)
        finally:
            run.ended = time.monotonic()
            if self._runs.get(request_id) is mine:
                del self._runs[request_id]

    async def _generate(self, mine, writer):
        while mine.made < EVENTS:
            await self._room(mine)
            await asyncio.sleep(EVENT_PAUSE_S)
            if mine.is_stopped or self.mode == "gone":
                return
            mine.made += 1
            last = " last" if mine.made == EVENTS else ""
            event = f"id: {mine.made}\ndata: {mine.request_id}{last}\n\n".encode()
            if not mine.is_cut and await self._cuts(event, writer):
                mine.is_cut = True
            self._write(mine, writer, http11.chunk(event))
            if mine.is_cut and self.drops:
                return
            if mine.holder in by_address:
                by_address[mine.holder].keep_copy(f"{mine.holder}/{mine.request_id}")
            try:
                await writer.drain()
            except ConnectionError:
                mine.is_cut = True
        self._write(mine, writer, http11.chunk(b""))

    def _write(self, mine, writer, part):
        if writer.is_closing():
            mine.is_cut = True
        if not mine.is_cut:
            writer.write(part)

    async def _cuts(self, event, writer):
        """Whether the stream ends here, by a fault of the replica."""
        is_wrong = self.mode == faulty_answers.WRONG_LENGTH
        if is_wrong and self._random.random() < CUT_SHARE:
            writer.write(faulty_answers.wrong_chunk(event))
            writer.close()
            return True
        is_cutting = self.mode in ("cut", silent_orders.MODE)
        return is_cutting and await self._cut_stream(event, writer)

    async def _room(self, mine):
        """Waits while the newest run is preempted for want of memory."""
        while not mine.is_stopped and not mine.is_cut:
            held = sum(each.tokens for each in self._runs.values())
            newest = max(self._runs.values(), key=lambda each: each.began)
            if held <= MEMORY_TOKENS or newest is not mine or len(self._runs) == 1:
                return
            await asyncio.sleep(EVENT_PAUSE_S)

    # Orders and questions.

    async def _report(self, writer):
        """Tells which runs it has."""
        if self.mode == "hang":
            await asyncio.sleep(3_600)
        if self.mode == "reset":
            writer.transport.abort()
            return
        told = [
            [each.request_id, each.tokens, each.made, 5]
            for each in self._runs.values()
            if not each.is_stopped
        ]
        body = json.dumps({"runs": told, "waiting": 0, "running": len(told)})
        writer.write(http11.answer(200, body=body.encode()))

    async def _take_order(self, asked, writer):
        is_spoiled = self.mode in faulty_answers.MODES
        chance = self._random.random()
        if self.mode in ("hang", silent_orders.MODE):
            await asyncio.sleep(3_600)
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self.mode == "error":
            writer.write(http11.answer(500))
            return
        if is_spoiled and chance < UNKNOWN_ORDER:
            writer.write(faulty_answers.refusal("", status=400))
            return
        order = json.loads(asked.body)
        if is_spoiled and not order["last"] and chance < UNKNOWN_ORDER + REFUSED_ORDER:
            writer.write(http11.answer(503))
            return
        status, body = await self._execute(order)
        if is_spoiled and chance > 1 - LOST_ORDER:
            writer.close()
            return
        writer.write(http11.answer(status, body=json.dumps(body).encode()))

    async def _execute(self, order):
        """The status and the body of the answer to an order."""
        mine = self._runs.get(order["id"])
        if mine is None or mine.is_stopped:
            return 404, {}
        if mine.is_moving:
            return 409, {}
        handle = f"h-{order['id']}-{mine.made}"
        memory = f"{self.proxy.address}/{handle}"
        told = {"handle": handle}
        if order["last"]:
            mine.is_stopped = True
            self.keep_copy(memory)
        mine.is_moving = True
        await asyncio.sleep(self._random.uniform(0, LONGEST_TRANSFER_S))
        mine.is_moving = False
        told["create-rev"] = mine.made
        to = by_address.get(order["to"])
        if to is None or not to._is_reached():
            return 503, told if order["last"] else {}
        if not order["last"] and self._runs.get(order["id"]) is not mine:
            return 404, {}
        to.keep_copy(memory)
        return 200, told
