"""A loopback proxy that carries a number of bytes a second, and that delays,
resets, or silences one direction."""

import asyncio
import time

from spans import Spans


class Proxy:
    def __init__(self, bytes_per_second=None):
        self._bytes_per_second = bytes_per_second
        # When each direction has carried what it took.
        self._free_at = {}
        self.disturbances = Spans()
        self._mode = "open"
        self.address = None
        self._server = None
        self._target = None
        self._links = set()

    @property
    def mode(self):
        """open, delay, cut (both ways), cut_out (towards the target), cut_back."""
        return self._mode

    @mode.setter
    def mode(self, mode):
        self._mode = mode
        self.disturbances.note(mode != "open")

    async def open(self, ip, target, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._target = target

    def close(self):
        """Takes no more connections, as an address without a process."""
        self._server.close()
        self.reset()

    def reset(self):
        """Resets every connection that stands."""
        for writer in list(self._links):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, port = self._target.rsplit(":", 1)
        ends = {writer}
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
            ends.add(to_writer)
            self._links |= ends
            await asyncio.gather(
                self._pass(reader, to_writer, "cut_out"),
                self._pass(to_reader, writer, "cut_back"),
            )
        except OSError:
            writer.transport.abort()
        finally:
            self._links -= ends
            for each in ends:
                each.close()

    async def _carry(self, size, direction):
        """Waits until a direction has carried some bytes, one after another."""
        if self._bytes_per_second is None:
            return
        now = time.monotonic()
        free_at = max(now, self._free_at.get(direction, now))
        self._free_at[direction] = free_at + size / self._bytes_per_second
        await asyncio.sleep(self._free_at[direction] - now)

    async def _pass(self, reader, writer, silenced_by):
        try:
            while part := await reader.read(16_384):
                await self._carry(len(part), silenced_by)
                if self.mode == "delay":
                    await asyncio.sleep(0.08)
                while self.mode in ("cut", silenced_by):
                    await asyncio.sleep(0.05)
                writer.write(part)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            writer.transport.abort()
