"""Replicas: each runs requests, and notes what it ran for the checks."""

import asyncio
import itertools
import time
from dataclasses import dataclass

import http11
import store as platform
from proxy import Proxy

EVENTS = 30
EVENT_PAUSE_S = 0.03
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


class Replica:
    def __init__(self, service, zone, ledger):
        self.id = f"i-{next(_numbers):04d}"
        self.service = service
        self.zone = zone
        # Runs of all replicas, by the request's id.
        self.ledger = ledger
        self.proxy = Proxy()
        # well, hang, reset, error or garble.
        self.mode = "well"
        # When the store acknowledged that it leaves.
        self.left_at = None
        # Moments after that, at which a request still came.
        self.late_arrivals = []
        # Whether nothing has disturbed the daemons and the store of late.
        self.all_calm = lambda: True
        self._server = None
        self._open = set()

    async def open(self, ip, store):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        await self.proxy.open(ip, f"{ip}:{port}")
        await self.register(store, "ready")

    async def register(self, store, state):
        entry = {
            "service": self.service, "address": self.proxy.address,
            "zone": self.zone, "slots": 16, "state": state,
            "born": int(time.time() * 1_000),
        }
        acknowledged = await store.write(platform.REPLICAS, self.id, entry)
        if state == "draining":
            self.left_at = acknowledged

    def crash(self):
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        self.proxy.reset()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while (asked := await http11.read_message(reader)) is not None:
                await self._run(asked, writer)
                await writer.drain()
        except (http11.Broken, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _run(self, asked, writer):
        wanted = asked.fields.get("x-sapphirereel-expect-instance")
        if wanted != self.id:
            writer.write(http11.answer(421))
            return
        if self.left_at is not None and self.all_calm():
            self.late_arrivals.append(time.monotonic())
        if self.mode == "reset":
            writer.transport.abort()
            return
        request_id = asked.fields["x-sapphirereel-request-id"]
        run = Run(
            self.id, time.monotonic(),
            asked.fields.get("x-sapphirereel-tenant", ""),
            asked.fields.get("x-sapphirereel-credential", ""),
        )
        self.ledger.setdefault(request_id, []).append(run)
        if self.mode == "hang":
            await asyncio.sleep(3_600)
        fields = {
            "X-Sapphirereel-Request-Id": request_id,
            "X-Sapphirereel-Response-Signature": f"{self.id}.{request_id}",
        }
        if asked.start[1].startswith("/stream/"):
            await self._stream(run, request_id, fields, writer)
            return
        await asyncio.sleep(0.01)
        run.status = 500 if self.mode == "error" else 200
        run.body = f"{self.id} served {request_id}".encode()
        bytes_out = http11.answer(run.status, fields, run.body)
        if self.mode == "garble":
            writer.write(bytes_out[: len(bytes_out) - 5])
            writer.close()
            return
        writer.write(bytes_out)

    async def _stream(self, run, request_id, fields, writer):
        run.status = 200
        fields = fields | {"Content-Type": "text/event-stream"}
        writer.write(http11.answer(200, fields, chunked=True))
        for number in range(1, EVENTS + 1):
            last = " last" if number == EVENTS else ""
            event = f"id: {number}\ndata: {request_id}{last}\n\n".encode()
            writer.write(http11.chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(http11.chunk(b""))
