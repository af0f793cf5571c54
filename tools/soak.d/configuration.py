"""The configuration of the soak's deployment."""

from model_replicas import MEMORY_TOKENS, TOKENS_OF_EVENT
from replicas import COLD_PER_S, COLD_S

REQUEST_TIMEOUT_MS = 5_000
TARGET_LATENCY_MS = 500
MOST_HEAD_BYTES = 16_384
# So large that a few bodies that are kept would exceed a daemon's memory.
MOST_BODY_BYTES = 8 * 1_024 * 1_024
HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS = 3_000, 15_000


def route(name, kind, service, **more):
    return {
        "host": "h", "name": name, "path-prefix": f"/{name}/",
        "kind": kind, "service": service, "timeout-ms": REQUEST_TIMEOUT_MS,
        "target-latency-ms": TARGET_LATENCY_MS, **more,
    }


def further_routes(count):
    """Routes that no request uses; some 170 bytes each."""
    return [
        route(f"further-{at}", "safe", "plain", host=f"{at * 7919:x}.example")
        for at in range(count)
    ]


def of_version(version, customers, further=0):
    """A version, with a route that only it has and so many further ones;
    customers by key."""
    cold = {"warmup-s": COLD_S, "cold-per-s": COLD_PER_S}
    resumable = {"stream-resume": True, "max-attempts": 3}
    engine = {
        "kv-cache-tokens": MEMORY_TOKENS, "kv-token-bytes": 18_432,
        "link-mbps": 2_700.0, "stride": TOKENS_OF_EVENT, "moves": True,
        "backups": True,
    }
    return {
        "version": version,
        "routes": [
            route("safe", "safe", "plain", **{"max-attempts": 2}),
            route("unsafe", "unsafe", "plain"),
            route("stream", "streaming", "engine"),
            route("resume", "streaming", "engine", **resumable),
            route(f"v{version}", "safe", "plain"),
            *further_routes(further),
        ],
        "services": [
            {"name": "plain", **cold},
            {"name": "engine", "engine": engine, **cold},
        ],
        "tenants": [
            {"name": name, "api-keys": [key]} for key, name in customers.items()
        ],
        "limits": {
            "max-header-bytes": MOST_HEAD_BYTES, "max-body-bytes": MOST_BODY_BYTES,
            "header-timeout-ms": HEAD_TIMEOUT_MS, "idle-timeout-ms": IDLE_TIMEOUT_MS,
        },
    }
