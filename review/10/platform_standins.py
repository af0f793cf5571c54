"""Small stand-ins of the platform's store and of replicas, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse


async def read_message(reader):
    """The next message as (first line, fields, body); none at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        return lines[0], fields, body
    except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
        return None


def message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """Two keyed topics; it answers at once and is never disturbed."""

    def __init__(self):
        self.records = {"keyed.op": [], "keyed.servers": []}
        self.news = asyncio.Condition()
        self.address = None

    async def open(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0, backlog=512)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def write(self, topic, key, value):
        """Appends a record; returns the moment of the acknowledgement."""
        raw = b"" if value is None else json.dumps(value).encode()
        async with self.news:
            self.records[topic].append((key, raw))
            self.news.notify_all()
        return time.monotonic()

    async def _serve(self, reader, writer):
        try:
            while (asked := await read_message(reader)) is not None:
                path, _, query = asked[0].split(" ")[1].partition("?")
                terms = dict(urllib.parse.parse_qsl(query))
                records = self.records.get(terms.get("topic"), [])
                if path == "/-/log-newest":
                    body = self._newest(records)
                elif path == "/-/log-read":
                    body = await self._read(records, terms)
                else:
                    writer.write(message("HTTP/1.1 404 Not Found", {}))
                    continue
                await asyncio.sleep(0.004)
                writer.write(message("HTTP/1.1 200 OK", {}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _newest(self, records):
        newest = {key: (at, raw) for at, (key, raw) in enumerate(records)}
        entries = [
            {"key": key, "offset": at, "value": base64.b64encode(raw).decode()}
            for key, (at, raw) in newest.items() if raw
        ]
        return json.dumps({"entries": entries, "more": False, "end": len(records)}).encode()

    async def _read(self, records, terms):
        start, wait_s = int(terms["from"]), int(terms.get("wait-ms", "0")) / 1_000
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
        return body


class Replica:
    """Runs each request for `work_s`; a request that expects another replica gets 421."""

    def __init__(self, name, service, zone, work_s, slots):
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.slots = work_s, slots
        # (moment of arrival, request id, tenant, whether it was answered)
        self.runs = []
        self.address = None
        self.born = int(time.time() * 1_000)
        self._state, self._sequence, self._running = "ready", 0, 0
        self._server, self._writers, self._beat = None, set(), None

    async def open(self, ip, store):
        self._server = await asyncio.start_server(self._serve, ip, 0, backlog=512)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        await self.register(store, "ready")
        self._beat = asyncio.create_task(self._renew(store))

    async def register(self, store, state):
        self._state = state
        self._sequence += 1
        return await store.write("keyed.servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": 1, "slots": self.slots, "state": state,
            "cold-remaining-ms": 0, "sequence": self._sequence, "born": self.born})

    async def _renew(self, store):
        while True:
            await asyncio.sleep(1.2)
            await self.register(store, self._state)

    async def leave(self, store):
        """Its process ends; requests that it still runs are cut off."""
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        return await store.write("keyed.servers", self.name, None)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (asked := await read_message(reader)) is not None:
                await self._answer(asked, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, asked, writer):
        fields = asked[1]
        request = fields.get("x-sapphirereel-request-id", "")
        told = {"X-Sapphirereel-Request-Id": request, "X-Sapphirereel-Replica-Id": self.name}
        if fields.get("x-sapphirereel-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 told | {"X-Sapphirereel-Not-Executed": "1"}))
            return
        run = [time.monotonic(), request, fields.get("x-sapphirereel-tenant", ""), False]
        self.runs.append(run)
        self._running += 1
        await asyncio.sleep(self.work_s)
        load = f"{self._running},0,{self.slots}"
        self._running -= 1
        writer.write(message("HTTP/1.1 200 OK", told | {
            "X-Sapphirereel-Response-Signature": f"s-{request}",
            "X-Sapphirereel-Replica-Load": load}, b"x" * 800))
        await writer.drain()
        run[3] = not writer.is_closing()
