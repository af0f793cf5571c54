"""Drives the whole path of a small cluster and prints what happened."""

import json
import os
import sys
import time

import callers
from cluster import CALLER_PORT, DAEMONS, PLAIN, Cluster, ask, caller_address
from cluster import configuration

failures = 0


def say(text):
    print(text, flush=True)


def check(holds, what):
    global failures
    failures += 0 if holds else 1
    say(f"  {'ok    ' if holds else 'FAILED'} {what}")


def indented(text, lines):
    """The first lines of a text, for the screen."""
    for line in text.strip().splitlines()[:lines]:
        say("    " + line[:90])


def publish(cluster):
    say("Publish the configuration of both deployments")
    path = os.path.join(cluster.folder, "configuration.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(configuration(), file)
    code, text = cluster.control("apply", path, "--yes")
    indented(text, 12)
    check(code == 0, "the edit was accepted")
    code, text = cluster.control("wait", "--timeout=9s")
    indented(text, 6)
    check(code == 0, "it is in force at every daemon within 9 s")
    code, text = cluster.control(
        "explain", "--model=trasee-8b", "--customer=salvamont"
    )
    indented(text, 6)
    check(code == 0 and "lm-1" in text, "the selector routes to the engines")


def addresses(daemon):
    _, _, answer = ask(caller_address(daemon), "GET", "/addresses")
    return answer["addresses"]


def ask_addresses():
    say("Ask for addresses")
    given = addresses("entry-1")
    known = {caller_address(name) for name in DAEMONS}
    say("    " + ", ".join(given))
    check(bool(given) and set(given) <= known, "they are daemons' addresses")


def generate():
    say("Generate at each daemon, whole and streamed")
    for index, name in enumerate(DAEMONS):
        address = caller_address(name)
        prompt = f"Closure bulletin {index}"
        expected = callers.reference_text(prompt, 30)
        text = callers.complete(address, "trasee-8b", prompt, 30, "salvamont")
        check(text == expected, f"{name}: whole answer of 30 tokens")
        prompt = f"Explain code {index}"
        expected = callers.reference_text(prompt, 40)
        stream = callers.Stream(address, "clasif-8b", prompt, 40, "broker")
        stream.start()
        stream.join()
        held = stream.done and stream.text == expected
        check(held, f"{name}: stream of 40 tokens {stream.error}".rstrip())


def call_plain():
    say("Call plain services that may not be repeated")
    for service, endpoint, path in (
        ("registru", "registru-1", "/closures"),
        ("libro-codigos", "libro-1", "/bookings"),
    ):
        name = callers.uuid7()
        target = f"/services/{service}{path}"
        answers = [
            callers.call(caller_address(daemon), target, name, {"n": 1})
            for daemon in ("entry-1", "entry-2")
        ]
        for status, answer in answers:
            say(f"    {status} {json.dumps(answer)[:80]}")
        check(answers[0][0] == 200, f"{service}: the call was answered")
        check(answers[0] == answers[1], "its repetition got the same answer")
        count = callers.effects(PLAIN[endpoint], name)
        check(count == 1, f"sent to two daemons, effects: {count}")


def dump(cluster):
    say("Dump each daemon")
    for name in DAEMONS:
        code, text = cluster.control("dump", daemons=[name])
        say(f"    {name}: {len(text.splitlines())} lines")
        check(code == 0 and text != "", f"{name} dumped its state")


def stop_one(cluster):
    say("Stop entry-1 as planned while streams run on it")
    prompts = [f"Long bulletin {i}" for i in range(4)]
    expected = [callers.reference_text(prompt, 150) for prompt in prompts]
    streams = [
        callers.Stream(
            caller_address("entry-1"), "trasee-8b", prompt, 150, "salvamont"
        )
        for prompt in prompts
    ]
    for stream in streams:
        stream.start()
    for stream in streams:
        stream.await_tokens(5)
    code, _ = cluster.control("drain", daemons=["entry-1"])
    check(code == 0, "the daemon took the order to stop")
    time.sleep(1)
    given = addresses("entry-2")
    left = f"{DAEMONS['entry-1'][0]}:{CALLER_PORT}" not in given
    check(left, "its address is not handed out a second later")
    for stream in streams:
        stream.join()
    whole = sum(
        stream.done and stream.text == text
        for stream, text in zip(streams, expected)
    )
    gap_ms = max(stream.longest_gap_s for stream in streams) * 1000
    for error in {stream.error for stream in streams if stream.error}:
        say(f"    {error[:90]}")
    check(whole == 4, f"streams of 150 tokens that arrived whole: {whole} of 4")
    say(f"    longest gap between tokens: {gap_ms:.0f} ms")
    check(cluster.await_end("entry-1") == 0, "the daemon ended by itself")
    text = callers.complete(
        caller_address("entry-2"), "trasee-8b", "After the stop", 10, "rescue"
    )
    expected_text = callers.reference_text("After the stop", 10)
    check(text == expected_text, "the others serve on")


def main():
    with Cluster(sys.argv[1]) as cluster:
        say(f"Three daemons, four engines, two plain services; logs in "
            f"{cluster.folder}")
        cluster.start_stand_ins()
        cluster.start_daemons()
        publish(cluster)
        ask_addresses()
        generate()
        call_plain()
        dump(cluster)
        stop_one(cluster)
    say("everything held" if failures == 0 else f"{failures} checks FAILED")
    return 0 if failures == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
