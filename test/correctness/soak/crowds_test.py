"""The soak's clients that do not behave send what they are named for, and note what
they are answered; without that, a product that keeps such bodies passes the soak
(issue 46)."""

import asyncio
import itertools
import os
import random
import sys
import time
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "..", "tools", "soak.d"))

import crowds  # noqa: E402
import http11  # noqa: E402
from daemons import Build, Daemon  # noqa: E402

LIMIT = 300_000
CLIENT_S = 0.3
FEW_SMALL_CHUNKS = 16_384


async def received(bytes_out):
    """The message that the bytes are, or the reason why they are none."""
    reader = asyncio.StreamReader(limit=http11.MOST_HEAD_BYTES)
    reader.feed_data(bytes_out)
    reader.feed_eof()
    try:
        return await http11.read_message(reader)
    except http11.Broken as why:
        return why


def first(parts, count=40):
    return b"".join(itertools.islice(parts, count))


class Crowds(unittest.IsolatedAsyncioTestCase):
    async def test_bodies_stop_short_of_their_end(self):
        for kind in (crowds.short_of_the_end, crowds.length_short_of_the_end):
            sent = b"".join(kind("/", LIMIT))
            self.assertGreater(len(sent), LIMIT - crowds.SHORT_BY_BYTES)
            self.assertIsInstance(await received(sent), http11.Broken)
        # With its end the body is inside the limit.
        whole = b"".join(crowds.short_of_the_end("/", LIMIT)) + http11.chunk(b"")
        got = await received(whole)
        self.assertEqual(LIMIT - crowds.SHORT_BY_BYTES, len(got.body))

    async def test_small_chunks_stop_short_of_their_end(self):
        count, crowds.SMALL_CHUNKS = crowds.SMALL_CHUNKS, FEW_SMALL_CHUNKS
        self.addCleanup(setattr, crowds, "SMALL_CHUNKS", count)
        sent = b"".join(crowds.small_chunks("/", LIMIT))
        self.assertIsInstance(await received(sent), http11.Broken)
        got = await received(sent + http11.chunk(b""))
        self.assertEqual(FEW_SMALL_CHUNKS, len(got.body))

    async def test_bodies_over_the_limit(self):
        got = await received(b"".join(crowds.over("/", LIMIT)))
        self.assertEqual(LIMIT + 1, len(got.body))
        for kind in (crowds.announced, crowds.endless):
            sent = first(kind("/", LIMIT))
            self.assertGreater(len(sent), LIMIT)
            self.assertIsInstance(await received(sent), http11.Broken)

    async def test_heads_without_end(self):
        sent = first(crowds.endless_head("/", LIMIT))
        self.assertNotIn(b"\r\n\r\n", sent)
        self.assertFalse(list(crowds.silent("/", LIMIT)))

    async def test_each_kind_comes_before_any_comes_again(self):
        daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
        drawn = crowds.Crowds(random.Random(1))
        names = [drawn.next(daemon)[0] for _ in crowds.KINDS]
        for kind in crowds.KINDS:
            self.assertTrue(any(f", {kind.__name__}, " in name for name in names))

    async def test_answers_and_lasting_connections(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http11.answer(413))
            while await reader.read(crowds.CHUNK_BYTES):
                pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        statuses, until = [], time.monotonic() + CLIENT_S
        await crowds.client(
            f"127.0.0.1:{port}", crowds.short_of_the_end("/", LIMIT), until,
            statuses.append,
        )
        server.close()
        self.assertEqual([413], statuses)
        # It stays open, though it has nothing more to send.
        self.assertGreaterEqual(time.monotonic(), until)


if __name__ == "__main__":
    unittest.main()
