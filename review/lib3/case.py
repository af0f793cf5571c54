"""What all cases share: the record, the end of all processes, and the exit code."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 115


class NotRun(Exception):
    """The case could not run as planned, so that nothing was shown."""


class Case:
    def __init__(self, folder):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.daemons = []
        self.began = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self.record(f"trouble: {'yes' if self.has_trouble else 'no'}")

    def close(self):
        self._file.close()

    def record(self, line):
        self._file.write(f"{time.monotonic() - self.began:8.3f} {line}\n")
        self._file.flush()


async def until(condition, limit_s, what):
    """Waits for a condition; the case is not run if it does not come true."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        got = condition()
        if await got if asyncio.iscoroutine(got) else got:
            return
        await asyncio.sleep(0.05)
    raise NotRun(what)


def main(folder, play):
    """Runs `play(case, scratch)`, which returns what broke the rule, if anything."""
    case = Case(folder)
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as scratch:
            try:
                broken = asyncio.run(_limited(play, case, pathlib.Path(scratch)))
                code = BROKEN if broken else HELD
                for line in broken or ["the rule held"]:
                    case.record(f"RESULT {line}")
                    print(line)
            finally:
                for each in case.daemons:
                    each.kill()
                if keep := os.environ.get("KEEP_LOGS"):
                    for log in pathlib.Path(scratch).glob("*.log"):
                        (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    except (NotRun, TimeoutError, OSError) as why:
        case.record(f"RESULT not run: {why!r}")
        print(f"not run: {why!r}")
    except Exception:
        case.record("RESULT not run: " + traceback.format_exc().replace("\n", " | "))
        traceback.print_exc()
    case.close()
    # Connections of daemons that were just ended are still open: nothing to tell of.
    sys.stdout.flush()
    os._exit(code)


async def _limited(play, case, scratch):
    async with asyncio.timeout(LONGEST_RUN_S):
        return await play(case, scratch)
