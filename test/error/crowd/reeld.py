"""One real sapphirereeld with the platform's stand-ins, whose programs are built
beside it."""

import os
import subprocess
import tempfile

import entry
import ordinary
import target
from http11 import Broken, call, request

PORT = "sapphirereeld"
_CALLERS, _PEERS, _LOG, _VMS, _WEIGHTS = 7100, 7101, 9100, 9200, 9300
_STAND_INS = {"standin_log": _LOG, "standin_vm_list": _VMS,
              "standin_weight_store": _WEIGHTS}


class Reeld:
    def __init__(self, program):
        self._program = program
        self._ip = f"{entry.net_of_process()}.1"
        self._folder = tempfile.TemporaryDirectory(prefix="crowd-")
        self._stand_ins = []
        self.ports = [PORT]
        self.process = None

    def address(self, port):
        return f"{self._ip}:{_CALLERS}"

    @property
    def addresses(self):
        return [self.address(PORT)]

    async def open(self):
        for name, port in _STAND_INS.items():
            program = os.path.join(os.path.dirname(self._program), name)
            self._stand_ins.append(
                self._start([program, f"--listen={self._ip}:{port}"])
            )
            await self._answered(f"{self._ip}:{port}")
        path = os.path.join(self._folder.name, "reeld.ini")
        with open(path, "w") as file:
            file.write(self._settings())
        self.process = self._start(
            [self._program, f"--settings={path}"], entry.limit_descriptors
        )
        await self._answered(self.address(PORT))

    def _settings(self):
        return f"""[daemon]
name = entry-1
zone = z1
region = r1
caller_address = {self._ip}:{_CALLERS}
peer_address = {self._ip}:{_PEERS}
secret = {"a" * 64}
[platform]
log_address = {self._ip}:{_LOG}
vm_list_address = {self._ip}:{_VMS}
weight_store_address = {self._ip}:{_WEIGHTS}
[callers]
max_body_bytes = {target.BODY_LIMIT}
[log]
level = error
"""

    def _start(self, words, prepare=None):
        with open(os.path.join(self._folder.name, "log"), "ab") as log:
            return subprocess.Popen(words, stdout=log, stderr=log, preexec_fn=prepare)

    async def _answered(self, address):
        """Waits until something answers, with whatever status."""
        async def answers():
            try:
                await call(address, request("GET", "/", {"Host": "h"}), ordinary.TRY_S)
                return True
            except Broken:
                return False

        await ordinary.until(answers)

    def close(self):
        for each in [*self._stand_ins, self.process]:
            if each is not None:
                each.kill()
                each.wait()
        self._folder.cleanup()
