"""Times at which something was disturbed, from its changes of mode."""

import math
import time


class Spans:
    def __init__(self):
        self._ended = []
        self._since = None

    def note(self, is_disturbed, now=None):
        now = time.monotonic() if now is None else now
        if is_disturbed and self._since is None:
            self._since = now
        elif not is_disturbed and self._since is not None:
            self._ended.append((self._since, now))
            self._since = None

    def touch(self, since, until):
        """Whether any of a time was disturbed."""
        spans = list(self._ended)
        if self._since is not None:
            spans.append((self._since, math.inf))
        return any(start <= until and end >= since for start, end in spans)
