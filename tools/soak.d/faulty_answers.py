"""What faulty replicas write in place of their answers, or beside them."""

from dataclasses import dataclass, field

import http11

# Modes in which a replica answers some of its requests wrongly.
REPEAT, UNMARKED, CUT_HEAD, LATE_EXTRA = "repeat", "unmarked", "cut head", "late extra"
WRONG_LENGTH, SHED = "wrong length", "shed"
MODES = (REPEAT, UNMARKED, CUT_HEAD, LATE_EXTRA, WRONG_LENGTH, SHED)
SHARE = 0.3
LONGEST_REPEAT_DELAY_S = 0.03
REFUSAL_STATUSES = (503, 429, 408)


@dataclass
class Earlier:
    """What one connection carried before, to be written once more."""

    # The id of the last request that was refused properly.
    refused_id: str = ""
    # The last whole answer.
    answer: bytes = b""
    # The refusals, by the ids of the requests that were refused.
    refusals: dict = field(default_factory=dict)

    def refuse(self, request_id, refused):
        """Notes a refusal; returns it."""
        self.refusals[request_id] = refused
        return refused


def refusal(request_id, fields=None, status=503):
    """A statement that a request was not run; an empty id names no request."""
    named = {"X-Sapphirereel-Request-Id": request_id} if request_id else {}
    marked = {"X-Sapphirereel-Not-Executed": 1}
    return http11.answer(status, named | marked | (fields or {}))


def repeated_refusal(random, earlier):
    """The refusal of the request before, with its id or without any."""
    is_named = random.random() < 0.5
    return refusal(earlier.refused_id if is_named else "")


def repeat_delay_s(random):
    """At once, or shortly after the next request came."""
    return 0 if random.random() < 0.5 else random.uniform(0, LONGEST_REPEAT_DELAY_S)


def unmarked_refusal(random, fields):
    """A status of refusals for a request that ran, and the bytes of the answer."""
    kept = dict(fields)
    for name in ("X-Sapphirereel-Request-Id", "X-Sapphirereel-Response-Signature"):
        if random.random() < 0.5:
            del kept[name]
    status = random.choice(REFUSAL_STATUSES)
    return status, http11.answer(status, kept)


def cut_head(random, answer):
    """The beginning of an answer, up to somewhere within its head."""
    return answer[: random.randrange(1, answer.index(b"\r\n\r\n") + 4)]


def wrong_length(random, answer):
    """The answer with a length that it doesn't have; most often a huge one."""
    digits = str(random.choice([10**16, 10**9, 2**63 - 1, 2**64 - 2]))
    begin = answer.index(b"Content-Length: ") + len(b"Content-Length: ")
    return answer[:begin] + digits.encode() + answer[answer.index(b"\r\n", begin):]


def wrong_chunk(part):
    """A chunk that states a size which it doesn't have."""
    return b"ffffffffffffff\r\n" + part
