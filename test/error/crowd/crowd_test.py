"""A process stays within its machine and serves ordinary callers while clients
that do not behave crowd one of its ports.

Usage: crowd_test.py PROGRAM CASE, where CASE is PORT_FORM or one of CALM.
"""

import asyncio
import resource
import sys
import time

import entry as entries
import machine
import ordinary
import reeld
import target
from crowd import Crowd
from forms import FORMS

CALM_BODY = target.BODY_LIMIT
# Steady bodies: size in bytes and time in s. Each takes longer than the time that
# bounds a head.
STEADY_S = 5.0
SLOW_BODY, SLOW_S = 200_000, 6.0
# How long a caller sends before the crowd comes.
EARLIER_S = 0.5


def path_of(port, form):
    if form == "whole_unanswered":
        return "/mute/crowd"
    return {"callers": "/safe/crowd", "directory": "/-/resolve",
            "readiness": "/-/ready", "peers": "/metrics",
            reeld.PORT: "/services/plain/crowd"}[port]


async def beside_crowd(entry, port, form):
    """A crowd at one port, and ordinary requests while it is there."""
    began = time.monotonic()
    ports = sorted({entry.ports[0], port})
    clients = Crowd(entry.address(port), path_of(port, form), FORMS[form])
    async with clients as crowd:
        await asyncio.sleep(1.0)
        wrong = [await ordinary.served(entry.address(each), each) for each in ports]
        await asyncio.sleep(max(0.0, began + target.CROWD_S - time.monotonic()))
    print(f"connections {crowd.connections}, statuses {crowd.statuses}")
    if crowd.connections < FORMS[form].clients:
        wrong.append("not every client of the crowd was connected")
    for status in crowd.unexpected():
        wrong.append(f"the crowd got {status}, which is no refusal")
    return [f"beside the crowd: {each}" for each in wrong if each]


async def slow_beside_crowd(entry):
    """A caller who sends steadily keeps its place when a crowd comes."""
    callers = entry.address("callers")
    slow = asyncio.create_task(ordinary.steady(callers, SLOW_BODY, SLOW_S))
    await asyncio.sleep(EARLIER_S)
    async with Crowd(callers, "/safe/crowd", FORMS["short_chunks"]):
        return [await slow]


async def calm(entry, size, in_s):
    return [await ordinary.steady(entry.address("callers"), size, in_s)]


CALM = {
    "calm_whole_body": lambda entry: calm(entry, CALM_BODY, 0.0),
    "calm_steady_body": lambda entry: calm(entry, CALM_BODY, STEADY_S),
    "calm_slow_body": lambda entry: calm(entry, SLOW_BODY, SLOW_S),
    "crowded_slow_body": slow_beside_crowd,
}


def over_bounds(entry, watch):
    """What of its machine the process used too much of, after it was watched."""
    most = target.MEMORY_MB * target.BYTES_PER_MB
    if entry.process.poll() is not None:
        yield f"the process ended with {entry.process.returncode}"
    if watch.memory_and_unread > most:
        yield (
            f"{watch.memory_and_unread / target.BYTES_PER_MB:.0f} MB of memory and "
            f"unread bytes exceed {target.MEMORY_MB} MB"
        )
    if watch.sockets > target.MOST_SOCKETS:
        yield f"{watch.sockets} sockets and pipes exceed {target.MOST_SOCKETS}"
    files = watch.descriptors - watch.sockets
    if files > target.DESCRIPTORS_FOR_FILES:
        yield f"{files} files exceed {target.DESCRIPTORS_FOR_FILES}"


async def play(entry, case):
    await entry.open()
    for port in entry.ports:
        if wrong := await ordinary.served(entry.address(port), port):
            return [f"before the crowd: {wrong}"]
    with machine.Watch(entry.process.pid, entry.addresses) as watch:
        if case in CALM:
            wrong = await CALM[case](entry)
        else:
            port, _, form = case.partition("_")
            wrong = await beside_crowd(entry, port, form)
        for port in entry.ports:
            after = await ordinary.served(entry.address(port), port)
            wrong.append(after and f"after the crowd: {after}")
        if not case.startswith(reeld.PORT):
            after = await ordinary.whole_served(entry.address("callers"))
            wrong.append(after and f"after the crowd: {after}")
    print(
        f"{case}: peak {watch.memory / target.BYTES_PER_MB:.1f} MB, with unread bytes "
        f"{watch.memory_and_unread / target.BYTES_PER_MB:.1f} MB, unread alone "
        f"{watch.unread / target.BYTES_PER_MB:.1f} MB, sockets {watch.sockets}, "
        f"descriptors {watch.descriptors}"
    )
    return [each for each in wrong if each] + list(over_bounds(entry, watch))


async def play_and_end(entry, case):
    wrong = await play(entry, case)
    # The stand-ins end with their connections open, of which asyncio complains.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return wrong


def main():
    program, case = sys.argv[1:]
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    is_reeld = case.startswith(reeld.PORT)
    entry = reeld.Reeld(program) if is_reeld else entries.Entry(program)
    try:
        wrong = asyncio.run(play_and_end(entry, case))
    finally:
        entry.close()
    for each in wrong:
        print(f"FAILED: {each}")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
