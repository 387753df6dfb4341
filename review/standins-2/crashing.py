"""A small deployment before a request that crashes the replicas that run it.

Three gateways, a store, and replicas of one plain service. A replica that
crashes is back after some seconds, under a new id. The rule, BUDGET: "A request
that crashes the replicas that run it reaches replicas in more than three
retries, sent by machines in touch later than contact_ms after it has crashed
the third."
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import time
import traceback

import deployment as d
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_LATE = 3
HEARTBEAT_S = 1.2
KEY = "9dnn2ctnfzs989anu6ws"
POISON = "/stops/poison/today"
SOUND = "/stops/7/today"
SERVICE = "driver-app"


class World:
    """`crash`: see replica.py. `back_s`: until a replica is back."""

    def __init__(self, folder, replicas, crash="kill", back_s=2.0, work_ms=15):
        self.record = d.Record(os.path.join(folder, "record.txt"))
        self.replicas = replicas
        self.crash = crash if TROUBLE else "none"
        self.back_s = back_s
        self.work_ms = work_ms
        self.store = Store()
        self.ports = {}  # By replica that writes its entry.
        self.runs = []  # Times of the runs of the poison.
        self.ran = set()  # Ids of the attempts that ran.
        self.crashes = []  # Times.
        self.tasks = []
        self.keepers = []  # The tasks that keep replicas running.
        self.gateways = []
        self.processes = set()
        self.next_replica = 0
        self.next_attempt = 0x9C41D07BE2A30000
        self.temporary = d.temporary_folder()

    async def start(self, grace_s=8):
        await self.store.start()
        service = {
            "name": SERVICE, "health_path": "/healthz", "max_connections": 51,
            "protocol": "h1", "tls": False,
        }  # fmt: skip
        tenant = {"name": "bozi300", "api_keys": [KEY], "priority": 1}
        routes = [
            d.route("r-stops", "/stops/", "safe", SERVICE),
            d.route("r-orders", "/orders/", "unsafe", SERVICE),
        ]
        self.store.put("op", "config", d.configuration(routes, [service], [tenant]))
        for _ in range(self.replicas):
            self._add_replica()
        await asyncio.sleep(1)
        self.tasks.append(asyncio.create_task(self._beat()))
        for zone in d.ZONES[:3]:
            self.gateways.append(
                d.Gateway(zone, self.store.address, self.temporary, grace_s)
            )
        for it in self.gateways:
            it.start()
        if not await d.wait_ready(self.gateways):
            self.record.write("could not run: the gateways are not ready")
            return False
        await asyncio.sleep(d.CONTACT_S + 1)
        if await self.send(0, SOUND) != 200:
            self.record.write("could not run: a sound request is not served")
            return False
        return True

    async def end(self):
        tasks = self.tasks + self.keepers
        for it in tasks:
            it.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for it in self.gateways:
            it.end()
        for it in list(self.processes):
            self._end_process(it)
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def send(self, gateway, path):
        """One request, as a client sends it; returns the status, or 0."""
        self.next_attempt += 1
        attempt = "%016x" % self.next_attempt
        headers = {
            "Attempt-Id": attempt,
            "Deadline-Ms": "1000",
            "Authorization": "Bearer " + KEY,
        }
        to = self.gateways[gateway % len(self.gateways)]
        try:
            status, fields, _ = await d.call(to.front, "GET", path, headers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, fields = 0, {}
        self.record.write(
            "sent", attempt, path, "to", to.name, "answered",
            status or "nothing", "sealed" if "replica-seal" in fields else "",
        )  # fmt: skip
        return status

    def begin_to_crash(self):
        """From now on the request crashes the replicas that run it."""
        if TROUBLE:
            self.crash = "kill"
            for it in self.processes:
                it.send_signal(signal.SIGUSR1)

    def _add_replica(self):
        self.keepers.append(asyncio.create_task(self._keep_replica()))

    async def _beat(self):
        """Replicas write their entries again at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, port in self.ports.items():
                self._put(name, port, "ready")

    async def _keep_replica(self):
        while True:
            self.next_replica += 1
            name = "i-%08x" % (0x7F3A0000 + self.next_replica)
            process = subprocess.Popen(
                [sys.executable, os.path.join(HERE, "replica.py"), name, SERVICE,
                 self.crash, str(self.work_ms)],
                stdout=subprocess.PIPE,
            )  # fmt: skip
            self.processes.add(process)
            await self._follow(process, name)
            self.ports.pop(name, None)
            # A replica that crashes sends nothing; its entry goes after three
            # intervals of silence.
            asyncio.get_running_loop().call_later(
                3 * HEARTBEAT_S, self.store.remove, "servers", name
            )
            await asyncio.sleep(self.back_s)
            self._end_process(process)

    async def _follow(self, process, name):
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        pipe, _ = await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), process.stdout
        )
        try:
            await self._read_events(process, name, reader)
        finally:
            pipe.close()

    async def _read_events(self, process, name, reader):
        port = int((await reader.readline()).split()[1])
        self.record.write("replica", name, "listens on port", port)
        self._put(name, port, "ready")
        self.ports[name] = port
        while True:
            line = await reader.readline()
            if not line:
                return
            event = json.loads(line)
            if "crash" in event:
                self.crashes.append(time.monotonic())
                self.record.write("crash of", name, "under", event["crash"])
                return
            self.ran.add(event["run"])
            if event["path"].startswith(POISON):
                self.runs.append(time.monotonic())
                self.record.write("run of", event["run"], "at", name)

    def _put(self, name, port, state):
        entry = {
            "service": SERVICE, "address": "127.0.0.1:%d" % port,
            "zone": "hall-a", "version": "v1", "slots": 6, "state": state,
            "cold_left_ms": 0, "call_seq": 0,
        }  # fmt: skip
        self.store.put("servers", name, entry)

    def _end_process(self, process):
        self.processes.discard(process)
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
        process.wait()

    def judge(self, least_runs):
        """0: the rule held; 1: it was broken; 2: the case could not run."""
        self.record.write("runs", len(self.runs), "crashes", len(self.crashes))
        if not TROUBLE:
            return 0 if len(self.runs) >= least_runs and not self.crashes else 2
        if len(self.crashes) < 3:
            self.record.write("fewer than three replicas crashed")
            return 0
        since = sorted(self.crashes)[2] + d.CONTACT_S
        late = [it for it in self.runs if it > since]
        self.record.write(
            "arrivals later than contact_ms after the third crash:", len(late),
            "of at most", MAX_LATE,
        )  # fmt: skip
        return 1 if len(late) > MAX_LATE else 0


def main(world, play, **settings):
    """Runs `play(world)`, which returns the exit code; 2: it could not run."""

    async def go():
        # When `timeout` ends this script, what it started is ended too.
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        try:
            if not await world.start(**settings):
                return 2
            return await play(world)
        finally:
            await world.end()

    try:
        code = asyncio.run(go())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = 2
    sys.exit(code)
