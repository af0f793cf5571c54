"""The platform's store: two keyed topics, and the ways in which it fails."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

import http11

CONFIGURATION = "keyed.op"
REPLICAS = "keyed.servers"


class Store:
    def __init__(self):
        self.records = {CONFIGURATION: [], REPLICAS: []}
        self.news = asyncio.Condition()
        # up, silent, busy, reset or slow.
        self.mode = "up"
        # When it was last anything but up, on the monotonic clock.
        self.disturbed_at = 0.0
        # Times at which it was not up.
        self.outages = []
        self.address = None

    async def open(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    def set_mode(self, mode):
        now = time.monotonic()
        if self.mode != "up":
            self.outages.append((self.disturbed_at, now))
        self.mode = mode
        self.disturbed_at = now

    def is_calm(self, for_s):
        return self.mode == "up" and time.monotonic() - self.disturbed_at > for_s

    def was_calm(self, since, until):
        """Whether it was up in all that time."""
        ended = all(end < since or start > until for start, end in self.outages)
        return ended and (self.mode == "up" or self.disturbed_at > until)

    async def write(self, topic, key, value):
        """Appends a record; a value of none removes its key."""
        raw = b"" if value is None else json.dumps(value).encode()
        return await self.write_bytes(topic, key, raw)

    async def write_bytes(self, topic, key, raw):
        async with self.news:
            self.records[topic].append((key, raw))
            self.news.notify_all()
        return time.monotonic()

    async def _serve(self, reader, writer):
        try:
            while (asked := await http11.read_message(reader)) is not None:
                if self.mode == "silent":
                    await asyncio.sleep(3_600)
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "slow":
                    await asyncio.sleep(0.4)
                if self.mode == "busy":
                    writer.write(http11.answer(503))
                else:
                    bytes_out = await self._answer(asked)
                    # Calls that wait when the silence begins get no answer either.
                    if self.mode == "silent":
                        await asyncio.sleep(3_600)
                    writer.write(bytes_out)
                await writer.drain()
        except (http11.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, asked):
        path, _, query = asked.start[1].partition("?")
        terms = dict(urllib.parse.parse_qsl(query))
        records = self.records[terms["topic"]]
        if path == "/-/log-newest":
            return self._newest(records)
        return await self._read(records, terms)

    def _newest(self, records):
        newest = {}
        for offset, (key, raw) in enumerate(records):
            newest[key] = (offset, raw)
        entries = [
            {"key": key, "offset": offset, "value": base64.b64encode(raw).decode()}
            for key, (offset, raw) in newest.items()
            if raw
        ]
        page = {"entries": entries, "more": False, "end": len(records)}
        return http11.answer(200, body=json.dumps(page).encode())

    async def _read(self, records, terms):
        start = int(terms["from"])
        wait_s = int(terms.get("wait-ms", "0")) / 1_000
        if start >= len(records) and wait_s:
            try:
                async with asyncio.timeout(wait_s), self.news:
                    await self.news.wait_for(lambda: len(records) > start)
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(records), 0)
        for key, raw in records[start:]:
            record = bytes([len(key)]) + key.encode() + raw
            body += struct.pack(">I", len(record)) + record
        return http11.answer(200, body=body)
