"""What every case does: a folder of its own, a record, an exit code."""

import asyncio
import os
import sys
import tempfile
import time


class Record:
    """Writes record.txt; times are seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._start = time.monotonic()

    def note(self, text, at=None):
        moment = (time.monotonic() if at is None else at) - self._start
        self._file.write(f"{moment:9.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def network():
    """The first three numbers of loopback addresses that this run uses."""
    pid = os.getpid()
    return f"127.{pid // 250 % 200 + 20}.{pid % 250 + 1}"


def play(folder, body, limit_s=110):
    """Runs body(record, net, folder); it returns the list of broken rules.

    Exit codes: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    daemons = []

    async def whole(temp):
        async with asyncio.timeout(limit_s):
            return await body(record, network(), temp, daemons)

    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as temp:
        try:
            broken = asyncio.run(whole(temp))
            for each in broken:
                record.say(f"BROKEN {each}")
            record.say("the rule was broken" if broken else "the rule held")
            code = 1 if broken else 0
        except Exception as why:  # noqa: BLE001
            record.say(f"the case could not run: {why!r}")
        finally:
            for each in daemons:
                each.end()
    sys.exit(code)
