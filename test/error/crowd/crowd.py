"""A crowd: clients that connect, send their form, and come again when closed."""

import asyncio
import contextlib
import re
import socket

import target

_STATUS = re.compile(rb"HTTP/1\.1 (\d{3}) ")
# The receive buffer of a client that doesn't read.
_UNREAD_BYTES = 4_096
_CONNECT_S = 1.0


class Crowd:
    def __init__(self, address, path, form):
        host, port = address.rsplit(":", 1)
        self._address = (host, int(port))
        self._path = path
        self._form = form
        self._tasks = []
        # How often each status was received, and connections that were made.
        self.statuses = {}
        self.connections = 0

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self._behave()) for _ in range(self._form.clients)
        ]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in ended:
            if not isinstance(each, (asyncio.CancelledError, OSError)):
                raise each

    def unexpected(self):
        allowed = target.REFUSALS | self._form.may_get
        return sorted(set(self.statuses) - allowed)

    async def _behave(self):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._visit()
            await asyncio.sleep(target.RETURN_S)

    async def _visit(self):
        loop = asyncio.get_running_loop()
        with socket.socket() as link:
            link.setblocking(False)
            if not self._form.reads:
                link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
            async with asyncio.timeout(_CONNECT_S):
                await loop.sock_connect(link, self._address)
            self.connections += 1
            reading = asyncio.create_task(self._read(loop, link))
            try:
                for piece in self._form.pieces(self._path):
                    await loop.sock_sendall(link, piece)
                    await asyncio.sleep(0)
                await reading
            finally:
                reading.cancel()
                await asyncio.wait([reading])
                if not reading.cancelled():
                    reading.exception()

    async def _read(self, loop, link):
        """Reads until the other side ends the connection."""
        if not self._form.reads:
            await asyncio.sleep(3_600)
        rest = b""
        while received := await loop.sock_recv(link, 65_536):
            rest += received
            for found in _STATUS.finditer(rest):
                status = int(found[1])
                self.statuses[status] = self.statuses.get(status, 0) + 1
            # What may be the begin of a status line that is not complete.
            rest = rest[rest.rfind(b"H") :] if b"H" in rest[-12:] else b""
