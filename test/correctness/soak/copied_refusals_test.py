"""A replica of the soak writes the refusal of a request once more when the same
request comes to the same connection again; without that, a product that believes
the copy passes the soak (issue 46)."""

import asyncio
import os
import sys
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "..", "tools", "soak.d"))

import faulty_answers  # noqa: E402
import http11  # noqa: E402
from replicas import Replica  # noqa: E402
from store import Store  # noqa: E402


async def statuses(replica, expected):
    """The statuses of answers on one connection, one request after the other."""
    host, port = replica.proxy.address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    got = []
    for instance in expected:
        fields = {
            "X-Sapphirereel-Request-Id": "r",
            "X-Sapphirereel-Expect-Instance": instance,
        }
        writer.write(http11.request("POST", "/unsafe/a", fields))
        answer = await http11.read_message(reader)
        got.append((http11.status_of(answer), answer.fields["x-sapphirereel-request-id"]))
    writer.close()
    return got


class CopiedRefusals(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.ledger = {}
        self.replica = Replica("plain", "z", self.ledger)
        await self.replica.open("127.0.0.1", Store())

    async def asyncTearDown(self):
        self.replica.crash()
        # Connections that still stand are cut off with the loop, which is no error.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    async def test_a_request_for_an_earlier_id(self):
        got = await statuses(self.replica, ["earlier", self.replica.id])
        self.assertEqual([(421, "r")] * 2, got)
        self.assertEqual(1, len(self.ledger["r"]))
        self.assertEqual(1, self.replica.copied_refusals)

    async def test_a_request_that_was_shed(self):
        share, faulty_answers.SHARE = faulty_answers.SHARE, 1.0
        self.addCleanup(setattr, faulty_answers, "SHARE", share)
        self.replica.mode = faulty_answers.SHED
        got = await statuses(self.replica, [self.replica.id] * 2)
        self.assertEqual([(503, "r")] * 2, got)
        self.assertEqual(1, len(self.ledger["r"]))

    async def test_another_connection_has_no_copy(self):
        self.assertEqual([(421, "r")], await statuses(self.replica, ["earlier"]))
        self.assertEqual([(200, "r")], await statuses(self.replica, [self.replica.id]))


if __name__ == "__main__":
    unittest.main()
