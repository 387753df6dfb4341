"""What the scripts share: the configuration, gateways as processes, a client.

Gateways are started with the command of the deploy file, on loopback addresses
and free ports, with the settings that DEPLOY.md shows for a small deployment.
"""

import asyncio
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# The bounds of the small deployments (brookvale-route).
CONTACT_S = 3.0

SETTINGS = """\
node_name={name}
role=gateway
machine_class=front
serves=front
ip=127.0.0.1
zone={zone}
region=valley-north
zones.hall-a=valley-north
zones.hall-b=valley-north
zones.office-rack=valley-north
zones.bottling-rack=valley-north
listen.front=127.0.0.1:{front}
listen.ready_addr=127.0.0.1:{ready}
internal_ports={peer},{peer}
bootstrap=true
loss_counts=false
limits.cpu_share=0.19
limits.cpu_cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s={grace_s}
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=56
bounds.recovery_s=12
bounds.pass_ms=120
bounds.again_s=9.9
platform.address={store}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=5.0
platform.part_writes_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_s=80.0
"""


ZONES = ("hall-a", "hall-b", "office-rack", "bottling-rack")

_taken = set()


def free_port():
    """A port that is free for TCP and UDP, outside the range of ephemeral ones."""
    for _ in range(1000):
        port = random.randrange(18000, 32000)
        if port in _taken:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise OSError("no free port")


def route(name, prefix, kind, service, **more):
    it = {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 100,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "safe" else 1,
        "allow_anonymous": False,
    }
    it.update(more)
    return it


def configuration(routes, services, tenants, version=1):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, zone, store, folder, grace_s=8):
        self.name = name = "front-%s-1" % zone
        self.front, self.ready = free_port(), free_port()
        self.folder = folder
        self.path = os.path.join(folder, name + ".conf")
        with open(self.path, "w") as f:
            f.write(
                SETTINGS.format(
                    name=name,
                    zone=zone,
                    front=self.front,
                    ready=self.ready,
                    peer=free_port(),
                    store=store,
                    grace_s=grace_s,
                )
            )
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/acaciachuted", "--gateway"],
            cwd=ROOT,
            env={"ACACIACHUTE_BOOT": self.path, "PATH": os.environ["PATH"]},
            stdout=log,
            stderr=log,
        )
        log.close()

    def change(self, before, after):
        """Replaces a line of the settings file, as the platform does."""
        with open(self.path) as f:
            text = f.read()
        with open(self.path + ".new", "w") as f:
            f.write(text.replace(before + "\n", after + "\n"))
        os.replace(self.path + ".new", self.path)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/readyz", {}, timeout=1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


async def wait_ready(gateways, limit_s=10):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if all([await it.is_ready() for it in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


def request_bytes(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    fields = {"Host": "desk.example"}
    fields.update(headers)
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines += ["%s: %s" % it for it in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    """Reads one answer: status, fields, body. Raises if it is incomplete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.read()
    return status, fields, body


async def call(port, method, path, headers, body=b"", timeout=5.0):
    """One request on a channel of its own: status, fields, body."""

    async def go():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(request_bytes(method, path, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(go(), timeout)


class Record:
    """record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def write(self, *words):
        at = time.monotonic() - self.began
        self.file.write("%8.3f %s\n" % (at, " ".join(str(w) for w in words)))


def temporary_folder():
    return tempfile.mkdtemp(prefix="review-2-")
