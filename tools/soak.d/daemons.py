"""The real programs, each a process on a loopback address of its own."""

import os
import signal
import subprocess
import time
from dataclasses import dataclass

from findings import Finding
from proxy import Proxy
from spans import Spans

CALLER_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT = 18740, 18749, 18746, 18720
GRACE_S = 8
# For how long a replica that leaves goes on to serve.
DRAIN_MS = 1_500
# Until when a version is in force.
CONFIGURATION_MS = 2_000
# The link of a weak VM: copies for peers keep to it, and the way to the store
# carries no more.
LINK_MBPS = 10
BYTES_PER_MEGABIT = 125_000
# The memory of its machine.
MEMORY_MB = 110
BYTES_PER_MB, BYTES_PER_KIB = 1_000_000, 1_024


@dataclass(frozen=True)
class Build:
    """A program to run; the name tells it apart in the report."""

    name: str
    program: str


class Daemon:
    def __init__(self, build, folder, ip, zone, seeds):
        self.name = f"entry-{ip}"
        self.ip = ip
        self.zone = zone
        self.proxy = Proxy(LINK_MBPS * BYTES_PER_MEGABIT)
        self.process = None
        # When it was last disturbed, on the monotonic clock.
        self.disturbed_at = time.monotonic()
        # Times at which its process was killed or paused.
        self.outages = Spans()
        # Moments at which it was signalled, started or cut off.
        self._touches = []
        # Whether its end was asked for.
        self.may_end = False
        # Most memory that its processes held so far: the build's name and bytes.
        self.memory_peaks = []
        # What the next start runs.
        self.build = build
        # Starts so far: the moment and the build's name.
        self._starts = []
        self._folder = folder
        self._seeds = seeds

    async def open(self, store_address):
        await self.proxy.open("127.0.0.1", store_address)
        self.start()

    @property
    def callers(self):
        return f"{self.ip}:{CALLER_PORT}"

    @property
    def directory(self):
        return f"{self.ip}:{DIRECTORY_PORT}"

    @property
    def ready(self):
        return f"{self.ip}:{READY_PORT}"

    @property
    def peers(self):
        return f"{self.ip}:{PEER_PORT}"

    @property
    def log_path(self):
        return os.path.join(self._folder, f"{self.name}.log")

    def start(self):
        settings = {
            "node-name": self.name, "ip": self.ip, "zone": self.zone,
            "listen.front": self.callers,
            "listen.ready": f"{self.ip}:{READY_PORT}",
            "listen.directory": self.directory,
            "internal-ports": f"{PEER_PORT},{PEER_PORT + 5}",
            "seeds": ",".join(f"{ip}:1" for ip in self._seeds),
            "platform.address": self.proxy.address,
            "bounds.retry-budget-ratio": 0.2, "bounds.budget-slack": 60,
            "bounds.budget-window-s": 10, "bounds.grace-s": GRACE_S,
            "bounds.drain-ms": DRAIN_MS, "bounds.config-apply-ms": CONFIGURATION_MS,
            "limits.link-mbps": LINK_MBPS,
            "limits.memory-mb": MEMORY_MB,
        }
        path = os.path.join(self._folder, f"{self.name}.boot")
        with open(path, "w") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [self.build.program, f"--settings={path}"], stdout=log, stderr=log
            )
        self.outages.note(False)
        self.may_end = False
        self.touch()
        self._starts.append((self.disturbed_at, self.build.name))

    def build_at(self, moment):
        """The name of the build that ran at a moment."""
        names = [name for at, name in self._starts if at <= moment]
        return names[-1] if names else self.build.name

    def finding(self, what):
        return Finding(f"{self.name} {what}", self.build_at(time.monotonic()))

    def send(self, number):
        """Signals this process, and no other."""
        self.touch()
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.note_memory()
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.outages.note(True)
        if number == signal.SIGCONT:
            self.outages.note(False)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.may_end = True
        if self.process.poll() is None:
            self.process.send_signal(number)

    def note_memory(self):
        """Notes the most memory that its process has held, unless it has ended."""
        if self.ended():
            return
        with open(f"/proc/{self.process.pid}/status") as file:
            peaks = [line.split()[1] for line in file if line.startswith("VmHWM:")]
        build = self._starts[-1][1]
        self.memory_peaks += [(build, int(kib) * BYTES_PER_KIB) for kib in peaks]

    def ended(self):
        return self.process.poll() is not None

    def touch(self):
        self.disturbed_at = time.monotonic()
        self._touches.append(self.disturbed_at)

    def was_calm(self, since, until):
        """Whether nothing disturbed its process or its link to the store then."""
        return not (
            any(since <= at <= until for at in self._touches)
            or self.outages.touch(since, until)
            or self.proxy.disturbances.touch(since, until)
        )

    def is_calm(self, for_s):
        return (
            not self.ended()
            and self.proxy.mode == "open"
            and time.monotonic() - self.disturbed_at > for_s
        )

    def kill(self):
        self.may_end = True
        self.outages.note(True)
        if not self.ended():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
