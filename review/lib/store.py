"""The platform's store: the two keyed topics that the daemons read.

Modes: up; silent (takes calls and never answers them); busy (503)."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

import http11

CONFIGURATION, REPLICAS = "keyed.op", "keyed.servers"


class Store:
    def __init__(self):
        self.records = {CONFIGURATION: [], REPLICAS: []}
        self.news = asyncio.Condition()
        self.mode = "up"
        self.calls = 0
        self._open = set()

    async def open(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    async def write(self, topic, key, value):
        """Appends a record; None drops the key. Returns the moment."""
        raw = b"" if value is None else json.dumps(value).encode()
        async with self.news:
            self.records[topic].append((key, raw))
            self.news.notify_all()
        return time.monotonic()

    async def _serve(self, reader, writer):
        try:
            while (asked := await http11.read_message(reader)) is not None:
                self.calls += 1
                if self.mode == "silent":
                    await asyncio.sleep(3_600)
                if self.mode == "busy":
                    writer.write(http11.answer(503))
                else:
                    answer = await self._answer(asked)
                    # A call that waits when the silence begins gets none either.
                    if self.mode == "silent":
                        await asyncio.sleep(3_600)
                    writer.write(answer)
                await writer.drain()
        except (http11.Broken, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, asked):
        path, _, query = asked.start.split(" ")[1].partition("?")
        terms = dict(urllib.parse.parse_qsl(query))
        records = self.records[terms["topic"]]
        if path == "/-/log-newest":
            newest = {key: (at, raw) for at, (key, raw) in enumerate(records)}
            entries = [
                {"key": key, "offset": at, "value": base64.b64encode(raw).decode()}
                for key, (at, raw) in newest.items() if raw
            ]
            page = {"entries": entries, "more": False, "end": len(records)}
            return http11.answer(
                200, {"Content-Type": "application/json"}, json.dumps(page).encode())
        start, wait_s = int(terms["from"]), int(terms.get("wait-ms", "0")) / 1e3
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
        return http11.answer(200, {}, body)
