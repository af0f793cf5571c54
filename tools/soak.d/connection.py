"""A caller's connection, kept for one request after the other."""

import asyncio

import http11


class Connection:
    def __init__(self, daemon):
        # The address of the daemon.
        self.daemon = daemon
        # Requests that it has carried.
        self.carried = 0
        # Statuses of answers that came while no request waited.
        self.stray = []
        self._reader = None
        self._writer = None
        # The head of the next answer, read ahead to notice the end of an idle
        # connection and answers to no request.
        self._next_head = None
        # Whether a request waits for that answer.
        self._is_awaited = False
        # When the other side may close it, if it says so.
        self._idle_until = None

    async def send(self, bytes_out):
        """Sends a request; the head of its answer, or none at a clean end."""
        if self._writer is None:
            host, port = self.daemon.rsplit(":", 1)
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
            self._read_ahead()
        self.carried += 1
        self._is_awaited = True
        self._writer.write(bytes_out)
        return await self._next_head

    def body_parts(self, head):
        return http11.body_parts(self._reader, head)

    def end_answer(self, head):
        """Decides after a whole answer whether the connection is kept."""
        if head.fields.get("connection", "").lower() == "close":
            self.close()
            return
        idle_s = http11.keep_alive_s(head)
        now = asyncio.get_running_loop().time()
        self._idle_until = None if idle_s is None else now + idle_s
        self._read_ahead()

    def is_usable(self):
        """Whether a next request may be sent; closes the connection if not."""
        if self._writer is None:
            return False
        now = asyncio.get_running_loop().time()
        is_expired = self._idle_until is not None and now >= self._idle_until
        if self._next_head.done() or is_expired:
            self.close()
            return False
        return True

    def close(self):
        if self._writer is None:
            return
        self._note_stray()
        self._next_head.cancel()
        self._writer.close()
        self._writer = None

    def _read_ahead(self):
        self._next_head = asyncio.create_task(http11.read_head(self._reader))
        self._is_awaited = False

    def _note_stray(self):
        task = self._next_head
        if not task.done() or task.cancelled() or task.exception() is not None:
            return
        head = task.result()
        if head is not None and not self._is_awaited:
            self.stray.append(http11.status_of(head))
