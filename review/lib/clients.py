"""Clients: one attempt each on a connection of its own or on a kept one."""

import asyncio
import time

import http11


class Got:
    """What a client saw of one attempt."""

    def __init__(self, request_id, daemon):
        self.id, self.daemon = request_id, daemon
        self.sent_at, self.ended_at = time.monotonic(), 0.0
        # 0 where the connection ended without a status.
        self.status, self.fields, self.body, self.whole = 0, {}, b"", False
        self.why = ""


class Connection:
    def __init__(self, daemon):
        self.daemon, self.reader, self.writer = daemon, None, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, method, target, request_id, fields, body=b"", limit_s=1.0):
        got = Got(request_id, self.daemon)
        all_fields = {"X-Sapphirereel-Request-Id": request_id} | fields
        try:
            async with asyncio.timeout(limit_s):
                if self.writer is None:
                    host, port = self.daemon.rsplit(":", 1)
                    self.reader, self.writer = await asyncio.open_connection(
                        host, int(port))
                self.writer.write(http11.request(method, target, all_fields, body))
                head = await http11.read_head(self.reader)
                if head is not None:
                    got.status, got.fields = head.status, head.fields
                    async for part in http11.parts(self.reader, head):
                        got.body += part
                    got.whole = True
                    if head.fields.get("connection", "").lower() == "close":
                        self.close()
                else:
                    got.why = "closed"
        except (http11.Broken, OSError, TimeoutError) as why:
            got.why = repr(why)
        got.ended_at = time.monotonic()
        if not got.whole:
            self.close()
        return got
