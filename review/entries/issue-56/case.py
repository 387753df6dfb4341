"""Replicas are replaced by the next version, one start after the other, under their ids.

Each writes its row with its next heartbeat. Clients take broken streams up at
any gateway. A stream may hold events of one version only.
"""
import asyncio
import os
import random
import secrets
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS, REPLICAS = 8, 10
SHARE, AT_A_TIME, GAP_S = 0.45, 2, 1.0  # Of the release.
DOWN_S, HEARTBEAT_S = 0.3, 1.2
EVENTS, EVENT_S = 30, 0.2
PER_S, LENGTH_S, RELEASES_AT = 10, 45.0, (12.0, 26.0)
BOUNDS = {"contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000,
          "max_stretch_ms": 6000, "retry_slack": 86, "recovery_s": 15, "pass_ms": 200, "again_s": 10}


class Engine(s.Replica):
    """A model replica of one software version, whose events name it."""

    def __init__(self, ip, record, version):
        super().__init__(ip, "drafter", record, slots=64)
        self.version, self.born, self.writers = version, int(time.time() * 1000), set()

    def row(self):
        row = super().row()
        row.update({"version": self.version, "born": self.born})
        return row

    def report(self):
        return dict(super().report(), born=self.born)

    async def run(self, reader, writer):
        self.writers.add(writer)
        await super().run(reader, writer)
        self.writers.discard(writer)

    async def replace(self, store, version):
        """Ends, and starts again as another version under its id and address."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.version, self.born = version, int(time.time() * 1000)
        self.server = await asyncio.start_server(self.run, self.ip, self.port, limit=1 << 24)
        self.record("release: replica", self.id, "starts again as", version)
        await asyncio.sleep(HEARTBEAT_S)
        await self.register(store)
        self.record("replica", self.id, "writes its row with", version)

    async def channel(self, reader, writer):
        while True:
            request = await s.read_request(reader)
            if request is None:
                return
            refused = self.refusal(request)
            if refused:
                writer.write(refused)
                await writer.drain()
                continue
            ident, last = request.get("attempt-id"), int(request.get("last-event-id", "0"))
            version = self.version
            self.record("replica", self.id, "(%s)" % version, "runs", ident, "after event", last)
            writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n"
                          "Keep-Alive: timeout=1\r\nTransfer-Encoding: chunked\r\n\r\n"
                          % ((ident,) + self.seal())).encode())
            for n in range(last + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                data = b"id: %d\ndata: %s\n\n" % (n, version.encode())
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()


class Stream:
    """One stream of a client over its tries."""

    def __init__(self, record, gateways):
        self.record, self.gateways = record, gateways
        self.versions, self.last, self.whole, self.first = [], 0, False, ""

    async def run(self, end):
        while not self.whole and time.monotonic() < end:
            ident = secrets.token_hex(8)
            gateway = random.choice(self.gateways)
            status = await self.attempt(gateway, ident, end)
            self.record("client gets", status, "whole" if self.whole else "cut", "for", ident, "up to event", self.last)
            if not self.whole:
                await asyncio.sleep(random.uniform(0.05, 0.3))

    async def attempt(self, gateway, ident, end):
        left = max(1, int((end - time.monotonic()) * 1000))
        head = ("POST /appeal/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nModel: m\r\n"
                "Token-Usage: 620,270\r\nPrompt-Prefix: 5c1e07a2:120,%s:500\r\nDeadline-Ms: %d\r\n"
                "Content-Length: 0\r\n" % (ident, secrets.token_hex(4), left))
        if self.last:
            head += "Last-Event-Id: %d\r\nResumes: %s\r\n" % (self.last, self.first)
        self.record("client sends", ident, "to", gateway.name,
                    "and takes up %s after event %d" % (self.first, self.last) if self.last else "")
        writer, status = None, 0
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.front.rsplit(":", 1)), 1.0)
            writer.write((head + "\r\n").encode())
            status = int((await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), end - time.monotonic())).split(b" ")[1])
            while status == 200:
                line = await asyncio.wait_for(reader.readline(), 2.5)
                if line.startswith(b"id: "):
                    number = int(line[4:])
                elif line.startswith(b"data: "):
                    self.last, self.first = number, self.first or ident
                    if line[6:].strip().decode() not in self.versions:
                        self.versions.append(line[6:].strip().decode())
                elif line == b"0\r\n":
                    self.whole = True
                    break
                elif not line:
                    break
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return status


async def case(record, folder, cleanup):
    store = await s.Store("127.0.0.1").start()
    replicas = []
    for _ in range(REPLICAS):
        replicas.append(await Engine("127.0.0.1", record, "v1").start())
        await replicas[-1].register(store)
    route = {"name": "r-appeal", "host": "desk.example", "prefix": "/appeal/", "kind": "streaming", "timeout_ms": 15000,
             "target_latency_ms": 2000, "priority": 0, "service": "drafter", "max_attempts": 2,
             "allow_anonymous": True, "session_affinity": True, "stream_resume": True, "gap_aim_ms": 400}
    service = {"name": "drafter", "health_path": "/healthz", "max_connections": 310, "protocol": "h1", "tls": False,
               "engine": {"slots": 64, "kv_capacity_tokens": 458520, "token_kv_bytes": 18432, "link_mbps": 88000.0,
                          "stride": 9, "handle_s": 5.0, "models": [{"name": "m"}]}}
    await store.put("op", "config", s.plain_config([route], [service]))
    gateways = [s.Gateway("front-sof-a-%d" % n, "127.0.0.1", "sof-a", store, folder, BOUNDS) for n in range(GATEWAYS)]
    cleanup.extend(gateways)
    for it in gateways:
        it.start()
    for it in gateways:
        await it.wait_ready()
    await asyncio.sleep(4.5)
    start, streams, tasks = time.monotonic(), [], []

    async def release(version, group):
        for n in range(0, len(group), AT_A_TIME):
            for it in group[n:n + AT_A_TIME]:
                tasks.append(asyncio.create_task(it.replace(store, version)))
            await asyncio.sleep(GAP_S)

    async def operator():
        count = int(SHARE * REPLICAS)
        for n, at in enumerate(RELEASES_AT):
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            await release("v%d" % (n + 2), replicas[n * count:(n + 1) * count])

    if TROUBLE:
        tasks.append(asyncio.create_task(operator()))
    while time.monotonic() - start < LENGTH_S:
        streams.append(Stream(record, gateways))
        tasks.append(asyncio.create_task(streams[-1].run(time.monotonic() + 15)))
        await asyncio.sleep(1 / PER_S)
    while tasks:
        await tasks.pop(0)
    mixed = [it for it in streams if len(it.versions) > 1]
    for it in mixed:
        record("WRONG: the stream that began as", it.first, "holds events of", " ".join(it.versions))
    record("%d streams, %d whole, %d with events of two versions"
           % (len(streams), sum(it.whole for it in streams), len(mixed)))
    if sum(it.whole for it in streams) < len(streams) // 2:
        raise RuntimeError("fewer than half of the streams are served")
    return len(mixed) > 2


sys.exit(s.run_case(case, os.path.join(HERE, "record.txt")))
