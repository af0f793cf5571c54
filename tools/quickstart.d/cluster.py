"""Starts and ends the processes of a small cluster on loopback addresses."""

import json
import os
import secrets
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

LOG = "127.0.0.2:17100"
VM_LIST = "127.0.0.2:17200"
WEIGHTS = "127.0.0.2:17300"
REFERENCE = "127.0.0.2:17400"
ENGINES = {
    "lm-1": "127.0.0.21:17500",
    "lm-2": "127.0.0.22:17500",
    "clasif-1": "127.0.0.23:17500",
    "clasif-2": "127.0.0.24:17500",
}
PLAIN = {"registru-1": "127.0.0.31:17600", "libro-1": "127.0.0.32:17600"}
DAEMONS = {
    "entry-1": ("127.0.0.11", "brasov-a"),
    "entry-2": ("127.0.0.12", "sibiu-b"),
    "entry-3": ("127.0.0.13", "prahova-c"),
}
CALLER_PORT = 17700
PEER_PORT = 17701
REGION = "ro-centru"

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 40


def caller_address(name):
    return f"{DAEMONS[name][0]}:{CALLER_PORT}"


def configuration():
    """The groups and services of both deployments."""

    def endpoint(name, address, zone):
        return {"id": name, "address": address, "zone": zone}

    engine = {"kind": "engine", "checks_fencing": True, "resumes_prefix": True}
    plain = {"kind": "plain", "non_idempotent_methods": ["POST"]}
    return {
        "services": [
            {"name": "lm-trasee", "models": ["trasee-8b"], **engine},
            {"name": "clasif-llm", "models": ["clasif-8b"], **engine},
            {"name": "registru", **plain},
            {"name": "libro-codigos", **plain},
        ],
        "groups": [
            {
                "name": "trasee-engines",
                "service": "lm-trasee",
                "labels": {"pool": "main"},
                "endpoints": [
                    endpoint("lm-1", ENGINES["lm-1"], "brasov-a"),
                    endpoint("lm-2", ENGINES["lm-2"], "sibiu-b"),
                ],
            },
            {
                "name": "clasif-engines",
                "service": "clasif-llm",
                "endpoints": [
                    endpoint("clasif-1", ENGINES["clasif-1"], "brasov-a"),
                    endpoint("clasif-2", ENGINES["clasif-2"], "sibiu-b"),
                ],
            },
            {
                "name": "registers",
                "service": "registru",
                "endpoints": [
                    endpoint("registru-1", PLAIN["registru-1"], "prahova-c")
                ],
            },
            {
                "name": "books",
                "service": "libro-codigos",
                "endpoints": [
                    endpoint("libro-1", PLAIN["libro-1"], "prahova-c")
                ],
            },
        ],
        "selectors": [
            {
                "name": "rescue-first",
                "precedence": 10,
                "services": ["lm-trasee"],
                "customers": ["salvamont"],
                "requirements": [{"key": "pool", "values": ["main"]}],
            }
        ],
        "shares": {"salvamont": 5},
    }


def settings_text(name, secret):
    ip, zone = DAEMONS[name]
    return f"""[daemon]
name = {name}
zone = {zone}
region = {REGION}
caller_address = {ip}:{CALLER_PORT}
peer_address = {ip}:{PEER_PORT}
secret = {secret}

[platform]
log_address = {LOG}
vm_list_address = {VM_LIST}
weight_store_address = {WEIGHTS}
vm_list_interval = 500ms

[callers]
address_validity = 1s

[log]
level = info
"""


class Cluster:
    """All processes, by name. Use as a context manager."""

    def __init__(self, programs):
        self.programs = os.path.abspath(programs)
        self.folder = tempfile.mkdtemp(prefix="quickstart-")
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def start(self, name, program, *arguments):
        path = os.path.join(self.folder, name + ".log")
        with open(path, "wb") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.programs, program), *arguments],
                stdout=log,
                stderr=log,
            )

    def start_stand_ins(self):
        self.start("log", "standin_log", f"--listen={LOG}")
        self.start("vm-list", "standin_vm_list", f"--listen={VM_LIST}")
        self.start("weights", "standin_weight_store", f"--listen={WEIGHTS}")
        self.start("reference", "standin_engine", f"--listen={REFERENCE}")
        for name, address in ENGINES.items():
            self.start(name, "standin_engine", f"--listen={address}")
        for name, address in PLAIN.items():
            self.start(
                name, "standin_plain", f"--listen={address}", f"--name={name}"
            )
        for address in (LOG, VM_LIST, WEIGHTS, REFERENCE):
            self.await_answer(address, "/")
        for address in [*ENGINES.values(), *PLAIN.values()]:
            self.await_answer(address, "/")
        self.list_vms()

    def list_vms(self):
        vms = [
            {
                "name": name,
                "ip": ip,
                "zone": zone,
                "region": REGION,
                "state": "live",
            }
            for name, (ip, zone) in DAEMONS.items()
        ]
        ask(VM_LIST, "PUT", "/v1/vms", {"vms": vms})

    def start_daemons(self):
        secret = secrets.token_hex(32)
        for name in DAEMONS:
            path = os.path.join(self.folder, name + ".ini")
            with open(path, "w", encoding="utf-8") as file:
                file.write(settings_text(name, secret))
            self.start(name, "sapphirereeld", f"--settings={path}")
        for name in DAEMONS:
            self.await_answer(caller_address(name), "/operator/status")

    def await_answer(self, address, path):
        """Waits until something answers, with whatever status."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            for name, process in self.processes.items():
                if process.poll() is not None:
                    raise SystemExit(
                        f"{name} ended at its start; is another quickstart "
                        f"running? logs: {self.folder}"
                    )
            try:
                ask(address, "GET", path)
                return
            except urllib.error.HTTPError:
                return
            except (OSError, urllib.error.URLError):
                if time.monotonic() > deadline:
                    raise SystemExit(
                        f"nothing answers at {address}; logs: {self.folder}"
                    )
                time.sleep(0.05)

    def control(self, *arguments, daemons=None):
        """Runs the client; answers its exit code and what it printed."""
        names = daemons or list(DAEMONS)
        addresses = ",".join(caller_address(name) for name in names)
        ran = subprocess.run(
            [
                os.path.join(self.programs, "sapphirereelctl"),
                f"--daemon={addresses}",
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return ran.returncode, ran.stdout + ran.stderr

    def await_end(self, name):
        """Waits for a process to end by itself; answers its exit code."""
        try:
            return self.processes[name].wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return None

    def terminate(self, name):
        self.processes[name].send_signal(signal.SIGTERM)


def ask(address, method, path, body=None, headers=None):
    """Sends a request; answers its status, headers and JSON."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=60) as answer:
        text = answer.read().decode()
        return answer.status, answer.headers, json.loads(text) if text else None
