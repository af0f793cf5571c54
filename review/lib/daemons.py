"""The project's program, started as the deploy file says, one per address."""

import os
import signal
import subprocess
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GRACE_S = 8


def run_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return line.split('"')[1].split(" ")
    raise SystemExit(2)


class Daemon:
    def __init__(self, folder, ip, zone, seeds, store, **bounds):
        self.ip, self.zone, self.name = ip, zone, f"front-{ip}"
        self._folder, self._seeds, self._store = folder, seeds, store
        self._bounds = bounds
        self.front, self.directory = f"{ip}:18740", f"{ip}:18746"
        self.process, self.starts = None, 0

    @property
    def log_path(self):
        return os.path.join(self._folder, f"{self.name}.log")

    def start(self):
        settings = {
            "node-name": self.name, "role": "entry", "machine-class": "front",
            "serves": "front,control,directory", "ip": self.ip,
            "zone": self.zone, "region": "ro-centru",
            "listen.front": self.front, "listen.ready": f"{self.ip}:18749",
            "listen.control": f"{self.ip}:18748",
            "listen.directory": self.directory, "internal-ports": "17200,17215",
            "seeds": ",".join(f"{ip}:18748" for ip in self._seeds),
            "bootstrap": "true", "limits.memory-mb": 110, "limits.max-fds": 4100,
            "heartbeat-ms": 1200, "bounds.addr-reuse-s": 2,
            "bounds.stable-window-ms": 3000, "bounds.drain-ms": 2000,
            "bounds.grace-s": GRACE_S, "bounds.loss-slack-ms": 200,
            "bounds.config-apply-ms": 2000, "bounds.retry-budget-ratio": 0.2,
            "bounds.budget-window-s": 10, "bounds.budget-slack": 58,
            "bounds.ttl_max_s": 5, "platform.address": self._store,
            "platform.form": "log",
        } | self._bounds
        path = os.path.join(self._folder, f"{self.name}.conf")
        with open(path, "w") as file:
            file.writelines(f"{name}={value}\n" for name, value in settings.items())
        allowed = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in allowed if name in os.environ}
        env["SAPPHIREREEL_BOOT"] = path
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                run_command(), cwd=ROOT, env=env, stdout=log, stderr=log)
        self.starts += 1

    def ended(self):
        return self.process is not None and self.process.poll() is not None

    def signal(self, number):
        if not self.ended():
            self.process.send_signal(number)

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self):
        if self.process is not None and not self.ended():
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def now():
    return time.monotonic()
