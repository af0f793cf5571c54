"""Replicas of a plain service: they beat into the store, run requests in their
slots and note what they ran."""

import asyncio
import itertools
import json
import time

import http11
import store as platform

BEAT_S = 1.2
_numbers = itertools.count(1)


class Replica:
    def __init__(self, service, zone, slots=6, work_s=0.03):
        self.id = f"i-{next(_numbers):04d}"
        self.service, self.zone = service, zone
        self.slots, self.work_s = slots, work_s
        # Every run: (request id, moment it began, moment it ended or None).
        self.runs = []
        self.rejected = []
        self.serving = False
        self._running = 0
        self._sequence = 0
        self._slot = asyncio.Semaphore(slots)
        self._server, self._writers, self._beat = None, set(), None

    async def open(self, ip, store):
        self._store = store
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self.serving = True
        self.born = int(time.time() * 1000)
        await self.report("ready")
        self._beat = asyncio.create_task(self._beats())

    async def report(self, state):
        """Writes the entry; None removes it. Returns the acknowledgement."""
        self._sequence += 1
        entry = None if state is None else {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state,
            "cold-remaining-ms": 0, "sequence": self._sequence, "born": self.born,
        }
        return await self._store.write(platform.REPLICAS, self.id, entry)

    async def leave_without_draining(self):
        """Its entry is removed; it serves on until `exit`."""
        self._beat.cancel()
        return await self.report(None)

    async def _beats(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if self._store.mode == "up":
                await self.report("ready")

    def exit(self):
        """Ends like a process: whatever it still runs is cut off."""
        if self._beat is not None:
            self._beat.cancel()
        self.serving = False
        if self._server is not None:
            self._server.close()
        for each in list(self._writers):
            each.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (asked := await http11.read_message(reader)) is not None:
                await self.take(asked, reader, writer)
                await writer.drain()
        except (http11.Broken, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def take(self, asked, reader, writer):
        request_id = asked.fields.get("x-sapphirereel-request-id", "")
        who = {"X-Sapphirereel-Replica-Id": self.id}
        if not request_id:
            writer.write(http11.answer(400, who | {"X-Sapphirereel-Not-Executed": 1}))
            return
        named = {"X-Sapphirereel-Request-Id": request_id}
        wanted = asked.fields.get("x-sapphirereel-expect-instance", self.id)
        if wanted != self.id:
            writer.write(http11.answer(421, who | named))
            return
        if self._running >= self.slots * 5:
            self.rejected.append(request_id)
            refused = {"X-Sapphirereel-Not-Executed": 1}
            writer.write(http11.answer(503, who | named | refused))
            return
        self._running += 1
        try:
            async with self._slot:
                run = [request_id, time.monotonic(), None]
                self.runs.append(run)
                await asyncio.sleep(self.work_s)
                run[2] = time.monotonic()
            await self.reply(asked, request_id, named, writer)
        finally:
            self._running -= 1

    def body_of(self, request_id):
        return (json.dumps({"by": self.id, "of": request_id}) + "." * 800)[:800].encode()

    async def reply(self, asked, request_id, named, writer):
        writer.write(http11.answer(200, self.signed(request_id, named),
                                   self.body_of(request_id)))

    def signed(self, request_id, named):
        load = f"{self._running},0,{self.slots}"
        return named | {
            "X-Sapphirereel-Response-Signature": f"{self.id}.{request_id}",
            "X-Sapphirereel-Replica-Load": load,
        }
