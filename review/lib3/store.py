"""The platform's metadata store: two keyed topics that the operator and the replicas write."""

import asyncio
import base64
import json
import struct
import urllib.parse

import http11

OPERATOR, SERVERS = "keyed.op", "keyed.servers"
PAGE_ENTRIES = 500
# Most bytes of records in the answer to a read, as long as it has one record.
READ_BYTES = 1_024 * 1_024
# What is written at a time over a narrow link.
SLICE_BYTES = 8_192


class Store:
    def __init__(self):
        self.records = {OPERATOR: [], SERVERS: []}
        self.address = None
        self._news = asyncio.Condition()
        self._server = None

    async def open(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = address_of(self._server)

    async def open_narrow(self, ip, link_mbps):
        """An address of the store at the end of a link that carries so much."""
        link = Link(link_mbps)
        server = await asyncio.start_server(lambda *ends: self._serve(*ends, link=link), ip, 0)
        return address_of(server)

    async def write(self, topic, key, value):
        """Appends a record; a value of None removes the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        async with self._news:
            self.records[topic].append((key.encode(), raw))
            self._news.notify_all()

    async def open_door(self, ip):
        """An address of the store for one daemon, which can be left without answers there."""
        door = Door()
        server = await asyncio.start_server(lambda *ends: self._serve(*ends, door=door), ip, 0)
        return address_of(server), door

    async def _serve(self, reader, writer, link=None, door=None):
        try:
            while (got := await http11.read_head(reader)) is not None:
                await http11.read_body(reader, got[1])
                path, _, query = got[0].split(" ")[1].partition("?")
                terms = dict(urllib.parse.parse_qsl(query))
                answer = await self._answer(path, terms)
                if door is not None and door.is_silent:
                    # A connection on which an answer is lost returns nothing further.
                    await asyncio.sleep(3_600)
                if link is not None:
                    await link.send(writer, answer)
                else:
                    writer.write(answer)
                    await writer.drain()
        except (http11.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, terms):
        records = self.records.get(terms.get("topic"))
        if records is None or terms.get("part") != "0":
            return http11.answer(404)
        if path == "/-/log-newest":
            return self._newest(records, terms.get("after", ""))
        if path == "/-/log-read":
            return await self._read(records, int(terms["from"]), int(terms.get("wait-ms", "0")))
        return http11.answer(404)

    def _newest(self, records, after):
        newest = {key: (offset, raw) for offset, (key, raw) in enumerate(records)}
        live = sorted((key.decode(), *found) for key, found in newest.items() if found[1])
        rest = [each for each in live if each[0] > after]
        page = [
            {"key": key, "offset": offset, "value": base64.b64encode(raw).decode()}
            for key, offset, raw in rest[:PAGE_ENTRIES]
        ]
        told = {"entries": page, "more": len(rest) > len(page), "end": len(records)}
        return http11.answer(200, {"Content-Type": "application/json"}, json.dumps(told).encode())

    async def _read(self, records, start, wait_ms):
        if start > len(records):
            return http11.answer(410, body=json.dumps({"first": 0}).encode())
        if start == len(records) and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1_000), self._news:
                    await self._news.wait_for(lambda: len(records) > start)
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(records), 0)
        for key, raw in records[start:]:
            record = bytes([len(key)]) + key + raw
            if len(body) > 16 and len(body) + len(record) > READ_BYTES:
                break
            body += struct.pack(">I", len(record)) + record
        return http11.answer(200, body=body)


class Door:
    """Where one daemon reaches the store."""

    is_silent = False


class Link:
    """A link that all connections of one daemon to the store share."""

    def __init__(self, mbps):
        self._bytes_per_s = mbps * 125_000
        self._free_at = 0.0

    async def send(self, writer, bytes_out):
        for start in range(0, len(bytes_out), SLICE_BYTES):
            part = bytes_out[start:start + SLICE_BYTES]
            now = asyncio.get_running_loop().time()
            self._free_at = max(self._free_at, now) + len(part) / self._bytes_per_s
            await asyncio.sleep(self._free_at - now)
            writer.write(part)
            await writer.drain()


def address_of(server):
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
