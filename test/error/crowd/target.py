"""The machine that a process must stay within, and the crowd that it meets."""

# A small machine of the deployments.
MEMORY_MB = 88
BYTES_PER_MB = 1_000_000
# Descriptors of the process, and those of them that are reserved for files.
MOST_DESCRIPTORS = 700
DESCRIPTORS_FOR_FILES = 200
MOST_SOCKETS = MOST_DESCRIPTORS - DESCRIPTORS_FOR_FILES

# Limits of the configuration: what a client may send.
HEAD_LIMIT = 16_384
BODY_LIMIT = 4_194_304
HEAD_TIMEOUT_MS = 3_000
IDLE_TIMEOUT_MS = 15_000
LIMITS = {
    "max-header-bytes": HEAD_LIMIT,
    "max-body-bytes": BODY_LIMIT,
    "header-timeout-ms": HEAD_TIMEOUT_MS,
    "idle-timeout-ms": IDLE_TIMEOUT_MS,
}

CLIENTS = 60
# More than the process may have open.
IDLE_CLIENTS = 700
# How long a crowd stays at least, and at most until an ordinary request is served.
CROWD_S = 4.0
SERVED_WITHIN_S = 20.0
# What a refused or closed client waits before it connects again.
RETURN_S = 0.5
# Time that callers and routes allow a request: longer than a crowd stays and than a
# steady body takes.
PATIENCE_MS = 30_000
# Responses that refuse a client of the crowd; it may also be disconnected.
REFUSALS = {400, 408, 413, 431, 503}
