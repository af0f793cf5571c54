"""Replicas of a plain service: they register themselves, serve one request at a time on a
connection, and may crash on a request and come back."""

import asyncio
import time

import http11
import store as platform

BEAT_S = 1.2
DRAIN_S = 2.0


class Replica:
    def __init__(self, name, service, zone, store, record, slots=6, work_s=0.03):
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.address = None
        self.is_up = False
        # Each request that began to run here: id, moment, fields.
        self.runs = []
        self.record = record
        self._store, self._sequence, self._born = store, 0, 0
        self._server, self._beats, self._writers, self._running = None, None, set(), 0

    async def open(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._born, self.is_up, self._sequence = int(time.time() * 1_000), True, 0
        await self.register("ready")
        self._beats = asyncio.create_task(self._beat())

    async def register(self, state):
        self._sequence += 1
        self.state = state
        await self._store.write(platform.SERVERS, self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold-remaining-ms": 0,
            "sequence": self._sequence, "born": self._born,
        })

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            await self.register(self.state)

    def crash(self):
        """Ends at once: connections are reset, the port is closed, nothing is written."""
        self.record(f"{self.id}: crashes with {self._running} requests at work")
        self.is_up = False
        self._beats.cancel()
        self._server.close()
        for each in list(self._writers):
            each.transport.abort()

    async def leave_unannounced(self, serves_on_s):
        """Its entry is removed without a word of draining; it serves on and ends later."""
        self._beats.cancel()
        await self._store.write(platform.SERVERS, self.id, None)
        self.left_at = time.monotonic()
        self.record(f"{self.id}: its entry is removed")
        await asyncio.sleep(serves_on_s)
        self.crash()

    async def crash_and_return(self, after_s):
        self.crash()
        await asyncio.sleep(after_s)
        await self.open(*http11.split(self.address))
        self.record(f"{self.id}: is back")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (got := await http11.read_head(reader)) is not None:
                body = await http11.read_body(reader, got[1])
                await self.take(got[0], got[1], body, writer)
                await writer.drain()
        except (http11.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def refusal(self, status, fields):
        told = {"X-Sapphirereel-Not-Executed": "1", "X-Sapphirereel-Replica-Id": self.id}
        if "x-sapphirereel-request-id" in fields:
            told["X-Sapphirereel-Request-Id"] = fields["x-sapphirereel-request-id"]
        return http11.answer(status, told)

    async def take(self, first, fields, body, writer):
        request_id = fields.get("x-sapphirereel-request-id")
        expected = fields.get("x-sapphirereel-expect-instance", self.id)
        if request_id is None:
            writer.write(self.refusal(400, fields))
        elif expected != self.id:
            writer.write(self.refusal(421, fields))
        elif self._running >= self.slots:
            writer.write(self.refusal(503, fields))
        else:
            self.runs.append((request_id, time.monotonic(), fields))
            self._running += 1
            try:
                await self.run(request_id, first, fields, body, writer)
            finally:
                self._running -= 1

    async def run(self, request_id, first, fields, body, writer):
        await asyncio.sleep(self.work_s)
        if self.is_up:
            writer.write(http11.answer(200, self.success(request_id), b"done " + request_id.encode()))

    def success(self, request_id):
        return {
            "X-Sapphirereel-Request-Id": request_id,
            "X-Sapphirereel-Response-Signature": f"{self.id}.{request_id}",
            "X-Sapphirereel-Replica-Load": f"{self._running},0,{self.slots}",
        }
