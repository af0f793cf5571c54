"""What callers do: complete, stream, call plain services."""

import json
import secrets
import threading
import time
import urllib.error
import urllib.request

from cluster import REFERENCE, ask


def prompt_body(model, prompt, length, stream):
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "standin_length": length,
        "stream": stream,
    }


def reference_text(prompt, length):
    """The answer that an engine outside the cluster gives."""
    body = prompt_body("any", prompt, length, False)
    _, _, answer = ask(REFERENCE, "POST", "/v1/chat/completions", body)
    return answer["choices"][0]["message"]["content"]


def complete(address, model, prompt, length, customer):
    """A whole answer: its text."""
    headers = {"Sapphirereel-Customer": customer}
    body = prompt_body(model, prompt, length, False)
    _, _, answer = ask(address, "POST", "/v1/chat/completions", body, headers)
    return answer["choices"][0]["message"]["content"]


class Stream(threading.Thread):
    """Reads one streamed generation on one connection."""

    def __init__(self, address, model, prompt, length, customer):
        super().__init__(daemon=True)
        self.request = urllib.request.Request(
            f"http://{address}/v1/chat/completions",
            method="POST",
            data=json.dumps(prompt_body(model, prompt, length, True)).encode(),
            headers={
                "Content-Type": "application/json",
                "Sapphirereel-Customer": customer,
            },
        )
        self.text = ""
        self.tokens = 0
        self.done = False
        self.error = ""
        self.longest_gap_s = 0.0

    def run(self):
        try:
            with urllib.request.urlopen(self.request, timeout=60) as answer:
                last = time.monotonic()
                for line in answer:
                    last = self.take(line.decode().rstrip("\r\n"), last)
        except (OSError, urllib.error.URLError) as error:
            self.error = str(error)

    def take(self, line, last):
        if line.startswith("event: "):
            self.error = line
        if line == "data: [DONE]":
            self.done = True
        elif line.startswith("data: {"):
            chunk = json.loads(line[len("data: ") :])
            for choice in chunk.get("choices", []):
                self.text += choice["delta"].get("content", "")
                self.tokens += 1
            now = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now - last)
            return now
        return last

    def await_tokens(self, count):
        while self.tokens < count and self.is_alive():
            time.sleep(0.01)


def uuid7():
    """A request name that carries its time of birth."""
    milliseconds = int(time.time() * 1000)
    value = (milliseconds << 80) | secrets.randbits(80)
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    text = f"{value:032x}"
    return "-".join(
        (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    )


def call(address, path, name, body):
    """A plain call: its status and answer, or its refusal."""
    try:
        status, _, answer = ask(
            address, "POST", path, body, {"Idempotency-Key": name}
        )
        return status, answer
    except urllib.error.HTTPError as error:
        disposition = error.headers.get("Sapphirereel-Disposition", "none")
        return error.code, {"disposition": disposition}


def effects(address, name):
    """How often a named call took effect at a plain service."""
    _, _, all_effects = ask(address, "GET", "/standin/effects")
    return sum(one["count"] for one in all_effects if one["name"] == name)
