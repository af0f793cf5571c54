"""What a process uses of its machine, read from /proc while it runs."""

import os
import threading

_SAMPLE_S = 0.05
_LISTENS = "0A"
_BYTES_PER_KIB = 1_024


def _links(pid):
    """What the descriptors of a process refer to."""
    folder = f"/proc/{pid}/fd"
    links = []
    for name in os.listdir(folder):
        try:
            links.append(os.readlink(f"{folder}/{name}"))
        except FileNotFoundError:
            pass
    return links


def _hex_address(address):
    host, port = address.rsplit(":", 1)
    reverse = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    return f"{reverse}:{int(port):04X}"


def peak_memory(pid):
    """The peak of resident memory, in bytes."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * _BYTES_PER_KIB
    return 0


def unread_bytes(links, listened):
    """Bytes that arrived for a process and that it hasn't read, also on
    connections that it hasn't accepted."""
    inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
    unread = 0
    with open("/proc/net/tcp") as file:
        next(file)
        for line in file:
            fields = line.split()
            if fields[3] == _LISTENS:
                continue
            if fields[9] in inodes or fields[1] in listened:
                unread += int(fields[4].split(":")[1], 16)
    return unread


class Watch:
    """Samples a process from a thread of its own."""

    def __init__(self, pid, addresses):
        self._pid = pid
        self._listened = {_hex_address(each) for each in addresses}
        self._end = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        # Peaks: resident memory, the same with unread bytes, unread bytes alone,
        # sockets and pipes, all descriptors.
        self.memory = 0
        self.memory_and_unread = 0
        self.unread = 0
        self.sockets = 0
        self.descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._end.set()
        self._thread.join()

    def _run(self):
        """Samples at the begin, in steps, and at the end."""
        is_last = False
        while True:
            try:
                self._sample()
            except (FileNotFoundError, ProcessLookupError):
                return
            if is_last:
                return
            is_last = self._end.wait(_SAMPLE_S)

    def _sample(self):
        links = _links(self._pid)
        unread = unread_bytes(links, self._listened)
        memory = peak_memory(self._pid)
        sockets = sum(link.startswith(("socket:", "pipe:")) for link in links)
        self.memory = max(self.memory, memory)
        self.unread = max(self.unread, unread)
        self.memory_and_unread = max(self.memory_and_unread, memory + unread)
        self.sockets = max(self.sockets, sockets)
        self.descriptors = max(self.descriptors, len(links))
