"""Real daemons before replicas that give broken answers: a part of one whose
connection is reset in the upload, a status that is none, a line that is no field.
No caller may take such an answer for a whole one, or wait for it until its deadline.
"""

import argparse
import asyncio
import random
import socket
import struct
import sys
import tempfile
import time
from dataclasses import dataclass

import http11
import store as platform
from daemons import Build
from fleet import Fleet
from soak import CUSTOMERS, WARM_UP_S, Soak

DAEMONS, REPLICAS_OF_A_SERVICE, CALLERS = 6, 5, 8
SECONDS = 5
SHARE = 0.3
# Sizes of uploads that are not sent whole when the connection is reset.
LONG_UPLOADS = (3_700_000, 4_100_000)
SHORT_UPLOADS = (10, 2_000)
RECEIVE_BUFFER_BYTES = 65_536
RESET_DELAYS_S = (0, 0.02, 0.1, 0.3)
BEAT_S = 0.8
DEADLINE_S = 6
# What can't be served is told well before the deadline.
LATEST_S = 5
STATUSES = ("000", "001", "099", "101", "600", "999")
LINES = (
    "X Y: spoiled", "X-Y : spoiled", "X\x01Y: spoiled", "X: a\r\n spoiled",
    "spoiled", "Content-Length : 2", "\x7f: spoiled",
)


def whole_body(request_id, is_stream):
    """The body of an answer; its last bytes show that it is whole."""
    if is_stream:
        return f"id: 1\ndata: {request_id}\n\nid: 2\ndata: whole\n\n".encode()
    return f"served {request_id} whole\n\n".encode()


def framed(random_of, head, body):
    """A head's lines and a body, framed in one of three ways; whether the answer
    ends with its connection."""
    how = random_of.choice(["length", "chunks", "none"])
    if how == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body, False
    if how == "chunks":
        chunks = http11.chunk(body) + http11.chunk(b"")
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks, False
    return f"{head}\r\n".encode() + body, True


class BrokenReplica:
    """A replica that gives broken answers of one kind beside sound ones."""

    def __init__(self, kind, service, number, seed):
        self.broken = 0
        self._kind = kind
        self._id = f"{service}-{number}"
        self._service = service
        self._random = random.Random(f"{seed}.{self._id}")
        self._renewals = 0

    async def open(self, ip, store):
        listening = socket.socket()
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listening.bind((ip, 0))
        self._address = f"{ip}:{listening.getsockname()[1]}"
        self._server = await asyncio.start_server(self._serve, sock=listening)
        await self._register(store)
        self._beats = asyncio.create_task(self._renew(store))

    async def _renew(self, store):
        while True:
            await asyncio.sleep(BEAT_S)
            await self._register(store)

    async def _register(self, store):
        self._renewals += 1
        entry = {
            "service": self._service, "address": self._address, "zone": "z1",
            "slots": 64, "state": "ready", "sequence": self._renewals,
            "born": int(time.time() * 1_000), "cold-remaining-ms": 0,
        }
        await store.write(platform.REPLICAS, self._id, entry)

    async def _serve(self, reader, writer):
        try:
            while (head := await http11.read_head(reader)) is not None:
                if not await self._answer(head, reader, writer):
                    return
                await writer.drain()
        except (http11.Broken, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, reader, writer):
        """Answers a request; whether the connection goes on."""
        is_order = head.start[1] == "/-/kv-move"
        is_broken = not is_order and self._random.random() < SHARE
        self.broken += is_broken
        if is_broken and self._kind == "reset":
            await self._reset_in_upload(head, writer)
            return False
        await reader.readexactly(int(head.fields.get("content-length", "0")))
        if is_order:
            writer.write(http11.answer(404))
            return True
        status = "200"
        line = ""
        if is_broken and self._kind == "status":
            status = self._random.choice(STATUSES)
        if is_broken and self._kind == "line":
            line = self._random.choice(LINES) + "\r\n"
        lines = self._head(head, status) + line
        bytes_out, ends = framed(self._random, lines, self._body(head))
        writer.write(bytes_out)
        return not ends

    async def _reset_in_upload(self, head, writer):
        """Answers with a part of a body without a length, reads nothing of the
        upload and resets the connection."""
        body = self._body(head)
        # Of a stream that is its first event.
        part = body[: len(body) // 2]
        if body.startswith(b"id: "):
            part = body[: body.index(b"\n\n") + 2]
        writer.write(f"{self._head(head, '200')}\r\n".encode() + part)
        await asyncio.sleep(self._random.choice(RESET_DELAYS_S))
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    def _head(self, asked, status):
        request_id = asked.fields["x-sapphirereel-request-id"]
        return (
            f"HTTP/1.1 {status} X\r\nX-Sapphirereel-Request-Id: {request_id}\r\n"
            "X-Sapphirereel-Response-Signature: s\r\n"
        )

    def _body(self, asked):
        is_stream = asked.start[1].startswith(("/stream/", "/resume/"))
        return whole_body(asked.fields["x-sapphirereel-request-id"], is_stream)


@dataclass
class Answer:
    """What a caller got."""

    request_id: str
    # None where no head came.
    head: http11.Message | None = None
    body: bytes = b""
    # Whether the answer ended as its framing says.
    is_whole: bool = False
    took_s: float = 0.0

    @property
    def status(self):
        return http11.status_of(self.head) if self.head else 0

    def is_believed_wrongly(self):
        """Whether the caller has a broken answer that looks whole."""
        if not self.is_whole:
            return False
        is_spoiled = "spoiled" in str(self.head.fields)
        is_odd = not 200 <= self.status <= 599
        is_part = self.status == 200 and not self.body.endswith(b"whole\n\n")
        return is_spoiled or is_odd or is_part


async def upload(daemon, kind, request_id, key, size):
    """One request on a connection of its own."""
    got = Answer(request_id)
    began = time.monotonic()
    fields = {
        "Host": "h", "X-Sapphirereel-Request-Id": request_id,
        "X-Sapphirereel-Credential": key, "X-Sapphirereel-Token-Count": "200,120",
        "X-Sapphirereel-Deadline-Ms": DEADLINE_S * 1_000,
    }
    # Equal requests would be refused as ones that crash replicas.
    content = (request_id.encode() + b"-") * (size // (len(request_id) + 1) + 1)
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_S + 2):
            host, port = daemon.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http11.request("POST", f"/{kind}/a", fields, content))
            await writer.drain()
            got.head = await http11.read_head(reader)
            if got.head is not None:
                async for part in http11.body_parts(reader, got.head):
                    got.body += part
                got.is_whole = True
    except (http11.Broken, OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    got.took_s = time.monotonic() - began
    return got


async def call(daemon, number, seed, sizes, answers):
    """One caller's requests, one after the other."""
    random_of = random.Random(f"{seed}.{number}")
    key = list(CUSTOMERS)[number]
    until = time.monotonic() + SECONDS
    while time.monotonic() < until:
        kind = random_of.choice(["safe", "unsafe", "stream", "resume"])
        request_id = f"c{number}-{len(answers)}"
        size = random_of.randint(*sizes)
        answers.append(await upload(daemon, kind, request_id, key, size))


async def play(soak, kind, seed):
    """Returns the replicas and what callers got."""
    await soak.open()
    replicas = [
        BrokenReplica(kind, service, number, seed)
        for service in ("plain", "engine")
        for number in range(REPLICAS_OF_A_SERVICE)
    ]
    for each in replicas:
        await each.open(soak.replica_ip, soak.store)
    await asyncio.sleep(WARM_UP_S)
    answers = []
    sizes = LONG_UPLOADS if kind == "reset" else SHORT_UPLOADS
    await asyncio.gather(*(
        call(soak.daemons[at % DAEMONS].callers, at, seed, sizes, answers)
        for at in range(CALLERS)
    ))
    # Connections that still stand are cut off with the loop, which is no error.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return replicas, answers


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["reset", "status", "line"])
    parser.add_argument("seed", type=int)
    parser.add_argument(
        "program", nargs="?", default="build/plain/bin/sapphirereel_entry"
    )
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="sapphirereel-broken-answers-")
    fleet = Fleet(DAEMONS, {"plain": 0, "engine": 0}, CALLERS)
    soak = Soak(
        options.seed, folder, Build("new", options.program), fleet=fleet
    )
    try:
        replicas, answers = asyncio.run(play(soak, options.kind, options.seed))
    finally:
        soak.close()
    believed = [each for each in answers if each.is_believed_wrongly()]
    late = [each for each in answers if each.took_s > LATEST_S]
    broken = sum(each.broken for each in replicas)
    whole = sum(each.is_whole and each.status == 200 for each in answers)
    print(
        f"{options.kind}, seed {options.seed}: {len(answers)} requests, {whole} whole; "
        f"broken answers {broken}, believed {len(believed)}, late {len(late)}"
    )
    for each in believed + late:
        print(f"{each.request_id}: {each.status} {each.body[:60]} {each.took_s:.1f} s")
    return 1 if believed or late else 0


if __name__ == "__main__":
    sys.exit(main())
