"""One real sapphirereel_entry on a small machine, with a stand-in store, a
replica that answers, and one that never does."""

import os
import resource
import subprocess
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "..", "tools", "soak.d"))

import configuration  # noqa: E402
import store as platform  # noqa: E402
import target  # noqa: E402
from replicas import Replica  # noqa: E402

ZONE = "z1"
PORTS = {
    "callers": 18740, "readiness": 18749, "directory": 18746, "peers": 18720,
}


def net_of_process():
    """The begin of loopback addresses that no other test uses."""
    return f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}"


def limit_descriptors():
    most = target.MOST_DESCRIPTORS
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class Entry:
    def __init__(self, program):
        self._program = program
        base = net_of_process()
        self.ip = f"{base}.1"
        self._replica_ip = f"{base}.250"
        self._folder = tempfile.TemporaryDirectory(prefix="crowd-")
        self._replicas = []
        self.ports = list(PORTS)
        self.process = None

    def address(self, port):
        return f"{self.ip}:{PORTS[port]}"

    @property
    def addresses(self):
        return [self.address(port) for port in self.ports]

    async def open(self):
        store = platform.Store()
        await store.open("127.0.0.1")
        patient = {"timeout-ms": target.PATIENCE_MS}
        await store.write(platform.CONFIGURATION, "config", {
            "version": 1,
            "routes": [
                configuration.route("safe", "safe", "plain", **patient),
                configuration.route("mute", "safe", "mute", **patient),
            ],
            "services": [{"name": "plain"}, {"name": "mute"}],
            "limits": target.LIMITS,
        })
        for service in ("plain", "mute"):
            replica = Replica(service, ZONE, {})
            await replica.open(self._replica_ip, store)
            self._replicas.append(replica)
        self._replicas[-1].mode = "hang"
        self._start(store.address)

    def _start(self, store_address):
        settings = {
            "node-name": "entry", "ip": self.ip, "zone": ZONE,
            "listen.front": self.address("callers"),
            "listen.ready": self.address("readiness"),
            "listen.directory": self.address("directory"),
            "internal-ports": f"{PORTS['peers']},{PORTS['peers'] + 5}",
            "seeds": f"{self.ip}:1",
            "platform.address": store_address,
            "limits.memory-mb": target.MEMORY_MB,
            "limits.max-fds": target.MOST_DESCRIPTORS,
        }
        path = os.path.join(self._folder.name, "entry.boot")
        with open(path, "w") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        with open(os.path.join(self._folder.name, "entry.log"), "wb") as log:
            self.process = subprocess.Popen(
                [self._program, f"--settings={path}"], stdout=log, stderr=log,
                preexec_fn=limit_descriptors,
            )

    def close(self):
        for each in self._replicas:
            each.stop_renewing()
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self._folder.cleanup()
