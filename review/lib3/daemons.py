"""The daemons of a case: the program of the deploy file, each on a loopback address of its own."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import tomllib

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"front": 0, "ready": 9, "control": 8, "directory": 6}

# The bounds of the two small deployments, as their sheets give them.
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
    "strict-revocation": "false", "revoke-ms": 5000, "retry-budget-ratio": 0.2,
    "budget-window-s": 10, "budget-slack": 58, "recovery-s": 12, "pass-ms": 120,
    "retry-after-s": 4.5, "ttl_max_s": 5,
}


def program():
    """The command of the deploy file's only role."""
    with open(ROOT / "deploy/system.toml", "rb") as file:
        (role,) = tomllib.load(file)["roles"].values()
    return role["run"].split(" ")


def free_ips(count):
    """Loopback addresses and a first port that nobody uses."""
    while True:
        net, base = random.randint(2, 250), 20_000 + 100 * random.randint(0, 90)
        ips = [f"127.{net}.{host}.1" for host in range(1, count + 1)]
        if all(_is_free(ip, base + port) for ip in ips for port in (*PORTS.values(), 40)):
            return ips, base


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Daemon:
    def __init__(self, folder, ip, base, zone, seeds, store, record, machine=None, bounds=None):
        self.ip, self.zone, self.name = ip, zone, f"front-{zone}-{ip.split('.')[2]}"
        self.front = f"{ip}:{base + PORTS['front']}"
        self.ready = f"{ip}:{base + PORTS['ready']}"
        self.directory = f"{ip}:{base + PORTS['directory']}"
        self.process = None
        # The moments at which it was started or signalled.
        self.touches = []
        self._record = record
        self._boot = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        settings = {
            "node-name": self.name, "role": "entry", "machine-class": "front",
            "serves": "front,control,directory", "ip": ip, "zone": zone, "region": "ro-centru",
            "listen.front": self.front, "listen.ready": self.ready,
            "listen.control": f"{ip}:{base + PORTS['control']}",
            "listen.directory": self.directory,
            "internal-ports": f"{base + 40},{base + 55}",
            "seeds": ",".join(f"{each}:{base + PORTS['control']}" for each in seeds),
            "bootstrap": "true", "include-in-tolerance": "false",
            "limits.cpu-share": 0.25, "limits.cores": 1, "limits.memory-mb": 110,
            "limits.max-fds": 4100, "limits.link-mbps": 1000.0, "limits.disk-mb": 0,
            "discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "platform.address": store, "platform.form": "log", "platform.keep_s": 300,
        }
        settings |= machine or {}
        settings |= {f"bounds.{name}": value for name, value in (BOUNDS | (bounds or {})).items()}
        self._boot.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["SAPPHIREREEL_BOOT"] = str(self._boot)
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(program(), cwd=ROOT, env=env, stdout=log, stderr=log)
        self.touch("start")

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.touch(signal.Signals(number).name)

    def touch(self, what):
        self.touches.append(time.monotonic())
        self._record(f"{self.name}: {what}")

    def is_in_touch(self, since, window_s=BOUNDS["stable-window-ms"] / 1_000):
        """Whether nothing disturbed it in the window before a moment."""
        return not any(since - window_s < at <= since for at in self.touches)

    def has_ended(self):
        return self.process.poll() is not None

    async def is_ready(self):
        try:
            bytes_out = http11.request("GET", "/-/ready", {"Host": "platform"})
            status, _, _ = await http11.call(self.ready, bytes_out, 1)
            return status == 200
        except http11.Broken:
            return False

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
