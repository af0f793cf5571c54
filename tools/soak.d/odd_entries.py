"""Entries that another writer left among those of the replicas."""

import json

NESTING = 300_000
COUNT = 31
NAMES_NONE, MAY_NAME_ONE = "odd-none", "odd-number"
WRONG_VALUES = (None, True, -3, 1.5, "", "x", [], [1], {}, {"a": {}})


def of(random, addresses):
    """Keys and bytes of entries; each bears the address of a replica, or a bad one."""
    made = []
    for number in range(COUNT):
        # Nested ones are large: one is enough.
        kind = nested if number == 0 else random.choice(SMALL_KINDS)
        prefix, raw = kind(random, whole_entry(random, addresses))
        made.append((f"{prefix}-{number}", raw))
    return made


def names_no_replica(key):
    """Whether an entry of that key names no replica to use, beyond doubt."""
    return str(key).startswith(NAMES_NONE)


def that_expire(entries):
    """Keys of entries that may name a replica, so that they pass as one for a while."""
    return [key for key, _ in entries if not names_no_replica(key)]


def whole_entry(random, addresses):
    return {
        "service": random.choice(["plain", "engine"]),
        "address": random.choice(addresses), "zone": "z1", "slots": 16,
        "state": "ready", "born": 1_700_000_000_000, "cold-remaining-ms": 0,
    }


def nested(random, entry):
    bracket, inner, end = random.choice([("[", "", "]"), ('{"a":', "1", "}")])
    deep = bracket * NESTING + inner + end * random.choice([0, NESTING])
    if random.random() < 0.5:
        return NAMES_NONE, deep.encode()
    return MAY_NAME_ONE, (json.dumps(entry)[:-1] + f', "more": {deep}}}').encode()


def huge_number(random, entry):
    name = random.choice(["slots", "born", "cold-remaining-ms", "sequence"])
    number = random.choice(["1e400", "-1e400", "1e308", "9" * 40, "18446744073709551616"])
    entry.pop(name, None)
    return MAY_NAME_ONE, (json.dumps(entry)[:-1] + f', "{name}": {number}}}').encode()


def bad_address(random, entry):
    ip = entry["address"].rsplit(":", 1)[0]
    port = random.choice(["0", "-1", "65536", "70000", "9" * 30, "x", "", "80 "])
    address = random.choice([f"{ip}:{port}", ip, "", ":1", "[::1", "a.b:1"])
    return NAMES_NONE, json.dumps(entry | {"address": address}).encode()


def wrong_type(random, entry):
    name = random.choice(["service", "address", "state"])
    return NAMES_NONE, json.dumps(entry | {name: random.choice(WRONG_VALUES)}).encode()


def missing_field(random, entry):
    del entry[random.choice(["service", "address", "state"])]
    return NAMES_NONE, json.dumps(entry).encode()


def unnamed_word(random, entry):
    """A state or a service that isn't named anywhere."""
    name = random.choice(["state", "service"])
    return NAMES_NONE, json.dumps(entry | {name: "elsewhere"}).encode()


def no_object(random, _):
    texts = ["null", "[]", "7", '"x"', "{", '{"service":', "\x00", "\xff\xfe", " "]
    return NAMES_NONE, random.choice(texts).encode("latin-1")


SMALL_KINDS = (
    huge_number, bad_address, wrong_type, missing_field, unnamed_word, no_object,
)
