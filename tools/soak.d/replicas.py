"""Replicas: each runs requests, and notes what it ran for the checks."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

import faulty_answers
import http11
import store as platform
from faulty_answers import Earlier
from proxy import Proxy
from spans import Spans

EVENTS = 30
EVENT_PAUSE_S = 0.03
SLOTS = 16
# A low rate, so that the traffic of the soak exceeds what a cold replica takes.
COLD_PER_S = 2
COLD_S = 4.0
# Time in which a daemon reports to its peers that a response stated a cold replica.
COLD_KNOWN_S = 0.5
# How often a replica renews its entry.
BEAT_S = 1.2
# Modes in which a replica may not answer what it is asked.
MUTE_MODES = ("hang", "reset", "error", "gone")
CUT_SHARE = 0.1
IGNORED_POSITIONS_SHARE = 0.25
_numbers = itertools.count(1)


@dataclass
class Run:
    """One run of a request."""

    replica: str
    at: float
    customer: str
    credential: str
    status: int = 0
    body: bytes = b""
    # Whether it goes on from the memory of an earlier run.
    is_continued: bool = False
    # When the replica stopped to work on it; none where it answered at once.
    ended: float | None = None
    # The request as it came.
    asked: object = None


class Replica:
    def __init__(self, service, zone, ledger, is_cold=False, seed=0):
        self.id = f"i-{next(_numbers):04d}"
        self.service = service
        self.zone = zone
        # Runs of all replicas, by the request's id.
        self.ledger = ledger
        self.proxy = Proxy()
        self._disturbances = Spans()
        self._mute = Spans()
        self._mode = "well"
        # When the store acknowledged that it leaves.
        self.left_at = None
        # The ids and moments of the requests that came after that.
        self.after_notice = []
        # When the removal of its entry was acknowledged, and the ids and moments of
        # the requests that came after that.
        self.removed_at = None
        self.after_removal = []
        # Moments at which a request came.
        self.arrivals = []
        # Ids that requests expected here and that are another replica's.
        self.misdirected = []
        # Times in which daemons know that it takes only COLD_PER_S.
        self.cold_spans = []
        # Refusals, and those that were written once more, with the same id.
        self.refusals = 0
        self.copied_refusals = 0
        self._born = time.time()
        self._warm_at = 0.0
        if is_cold:
            self._warm_at = time.monotonic() + COLD_S
            self.cold_spans.append((time.monotonic(), self._warm_at))
        self._random = random.Random(f"{seed}.{self.id}")
        self._streams = 0
        self._state = "ready"
        self._renewals = 0
        self._beats = None
        self._server = None
        self._open = set()

    @property
    def mode(self):
        """well, hang, reset, error, garble, cut, gone, or one of the faulty answers."""
        return self._mode

    @mode.setter
    def mode(self, mode):
        # A fault that ends later doesn't bring a crashed replica back.
        if self._mode == "gone":
            return
        self._mode = mode
        self._disturbances.note(mode != "well")
        self._mute.note(mode in MUTE_MODES)

    def is_sound(self, since, until):
        """Whether nothing disturbed it or its link in all that time."""
        return not (
            self._disturbances.touch(since, until)
            or self.proxy.disturbances.touch(since, until)
        )

    def is_reached(self, since, until):
        """Whether it could be asked, and answered, in all that time."""
        return not (
            self._mute.touch(since, until)
            or self.proxy.disturbances.touch(since, until)
        )

    async def open(self, ip, store, port=0):
        """Serves at a port that daemons reach; 0 for a free one."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        own_port = self._server.sockets[0].getsockname()[1]
        await self.proxy.open(ip, f"{ip}:{own_port}", port)
        await self.register(store, "ready")
        self._beats = asyncio.create_task(self._renew(store))

    async def _renew(self, store):
        """Renews its entry, as often as the platform's replicas do."""
        while True:
            await asyncio.sleep(BEAT_S)
            # The store takes no records while it is disturbed.
            if store.mode == "up":
                await self.register(store, self._state)

    def stop_renewing(self):
        if self._beats is not None:
            self._beats.cancel()

    async def register(self, store, state):
        self._state = state
        self._renewals += 1
        entry = {
            "service": self.service, "address": self.proxy.address,
            "zone": self.zone, "slots": SLOTS, "state": state,
            "sequence": self._renewals,
            "born": int(self._born * 1_000),
            "cold-remaining-ms": self._cold_ms(),
        }
        acknowledged = await store.write(platform.REPLICAS, self.id, entry)
        if state == "draining" and self.left_at is None:
            self.left_at = acknowledged

    def turn_cold(self):
        """Becomes cold; only its responses state it."""
        self._warm_at = time.monotonic() + COLD_S

    def _cold_ms(self):
        return max(0, int((self._warm_at - time.monotonic()) * 1_000))

    def _state_fields(self, is_spoiled=False):
        """What a response states of the replica.

        The limit of a replica that turned cold is checked from shortly after the
        first response that certainly reaches a daemon: one that follows another
        answer on its connection may be dropped with it.
        """
        is_open = self.mode == "well" and self.proxy.mode == "open"
        is_received = is_open and not is_spoiled
        known_at = time.monotonic() + COLD_KNOWN_S
        is_known = self.cold_spans and self.cold_spans[-1][1] >= self._warm_at
        if is_received and known_at < self._warm_at and not is_known:
            self.cold_spans.append((known_at, self._warm_at))
        pace = self._random.randint(55, 300)
        return {
            "X-Sapphirereel-Cold-Ms": self._cold_ms(),
            "X-Sapphirereel-Replica-Load": f"{self._streams},0,{SLOTS},{pace}",
        }

    def crash(self):
        self.mode = "gone"
        self.stop_renewing()
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        self.proxy.close()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        earlier = Earlier()
        try:
            while (asked := await http11.read_message(reader)) is not None:
                await self._run(asked, writer, earlier)
                await writer.drain()
        except (http11.Broken, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def _is_hit(self, mode):
        """Whether a request meets the fault of a mode."""
        return self.mode == mode and self._random.random() < faulty_answers.SHARE

    async def _run(self, asked, writer, earlier):
        request_id = asked.fields["x-sapphirereel-request-id"]
        wanted = asked.fields.get("x-sapphirereel-expect-instance")
        if wanted != self.id:
            self.misdirected.append(wanted)
            who = {"X-Sapphirereel-Replica-Id": self.id}
            refused = faulty_answers.refusal(request_id, who, 421)
            self._refuse(request_id, refused, writer, earlier)
            return
        self.arrivals.append(time.monotonic())
        if self.removed_at is not None:
            self.after_removal.append((request_id, time.monotonic()))
        if self.left_at is not None:
            self.after_notice.append((request_id, time.monotonic()))
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self._refuses(asked) or self._sheds(request_id, earlier):
            earlier.refused_id = request_id
            refused = faulty_answers.refusal(request_id, self._state_fields())
            self._refuse(request_id, refused, writer, earlier)
            return
        run = Run(
            self.id, time.monotonic(),
            asked.fields.get("x-sapphirereel-tenant", ""),
            asked.fields.get("x-sapphirereel-credential", ""),
            is_continued=self._is_continuation(asked), asked=asked,
        )
        self.ledger.setdefault(request_id, []).append(run)
        if self.mode == "hang":
            await asyncio.sleep(3_600)
        is_spoiled = await self._write_earlier(request_id, writer, earlier)
        fields = {
            "X-Sapphirereel-Request-Id": request_id,
            "X-Sapphirereel-Response-Signature": f"{self.id}.{request_id}",
        } | self._state_fields(is_spoiled)
        await self._answer(asked, run, request_id, fields, writer, earlier)

    def _refuses(self, asked):
        """Whether it has no room for a request."""
        return False

    def _sheds(self, request_id, earlier):
        """Whether it refuses a request for which it has room; what the connection
        has refused runs when it comes again."""
        if request_id in earlier.refusals:
            return False
        repeats = not earlier.refused_id and self._is_hit(faulty_answers.REPEAT)
        return repeats or self._is_hit(faulty_answers.SHED)

    def _refuse(self, request_id, refused, writer, earlier):
        self.refusals += 1
        writer.write(earlier.refuse(request_id, refused))

    def _is_continuation(self, asked):
        """Whether a request goes on from the memory of an earlier run."""
        return False

    async def _write_earlier(self, request_id, writer, earlier):
        """Writes an answer to an earlier request once more, or the refusal of this
        one on the same connection; whether it did."""
        if request_id in earlier.refusals:
            await asyncio.sleep(faulty_answers.repeat_delay_s(self._random))
            writer.write(earlier.refusals.pop(request_id))
            self.copied_refusals += 1
            return True
        if earlier.refused_id and self.mode == faulty_answers.REPEAT:
            await asyncio.sleep(faulty_answers.repeat_delay_s(self._random))
            writer.write(faulty_answers.repeated_refusal(self._random, earlier))
            earlier.refused_id = ""
            return True
        if earlier.answer and self._is_hit(faulty_answers.LATE_EXTRA):
            writer.write(earlier.answer)
            return True
        return False

    async def _answer(self, asked, run, request_id, fields, writer, earlier):
        if self._is_hit(faulty_answers.UNMARKED):
            await asyncio.sleep(0.01)
            run.status, refused = faulty_answers.unmarked_refusal(self._random, fields)
            writer.write(refused)
            return
        is_stream = asked.start[1].startswith(("/stream/", "/resume/"))
        if is_stream and self.mode != "error":
            after = int(asked.fields.get("last-event-id", "0"))
            if self._random.random() < IGNORED_POSITIONS_SHARE:
                after = 0
            self._streams += 1
            try:
                await self._stream(run, request_id, after, fields, writer)
            finally:
                self._streams -= 1
            earlier.answer = http11.answer(200, fields, b"id: 1\ndata: late\n\n")
            return
        await asyncio.sleep(0.01)
        run.status = 500 if self.mode == "error" else 200
        run.body = f"{self.id} served {request_id}".encode()
        bytes_out = http11.answer(run.status, fields, run.body)
        if self._is_hit(faulty_answers.CUT_HEAD):
            self._cut_head(bytes_out, writer)
            return
        if self._is_hit(faulty_answers.WRONG_LENGTH):
            writer.write(faulty_answers.wrong_length(self._random, bytes_out))
            return
        if self.mode == "garble":
            writer.write(bytes_out[: len(bytes_out) - 5])
            writer.close()
            return
        writer.write(bytes_out)
        earlier.answer = bytes_out

    async def _cut_stream(self, event, writer):
        """Ends some streams between two events or within one, by a reset or not."""
        if self._random.random() >= CUT_SHARE:
            return False
        if self._random.random() < 0.5:
            writer.write(http11.chunk(event[:9]))
        if self._random.random() < 0.5:
            await asyncio.sleep(EVENT_PAUSE_S)
            writer.transport.abort()
        writer.close()
        return True

    def _cut_head(self, bytes_out, writer):
        writer.write(faulty_answers.cut_head(self._random, bytes_out))
        writer.close()

    async def _stream(self, run, request_id, after, fields, writer):
        run.status = 200
        fields = fields | {"Content-Type": "text/event-stream"}
        head = http11.answer(200, fields, chunked=True)
        if self._is_hit(faulty_answers.CUT_HEAD):
            self._cut_head(head, writer)
            return
        writer.write(head)
        for number in range(after + 1, EVENTS + 1):
            last = " last" if number == EVENTS else ""
            event = f"id: {number}\ndata: {request_id}{last}\n\n".encode()
            if self.mode == "cut" and await self._cut_stream(event, writer):
                return
            writer.write(http11.chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(http11.chunk(b""))
