"""A model replica's refusal comes a second time, late, after a stage's replica crashed.

A stream needs one result of a stage. The replica that made it crashes while
the request waits at a model replica, which then answers 409 (not run), and
once more, late. The request must run at most once.
"""
import asyncio
import os
import secrets
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ANSWERS = 0.03  # Of the answers of the faulty model replica, at most.
MAKERS = 7  # One of them is down at a time: a share of 0.143.
DOWN_S = 2.0  # A crashed replica is back after this time, empty and with a new id.
QUEUE_S = 0.15  # How long a request waits at a model replica before it begins.
LENGTH_S = 90.0


class World:
    """What the disruptions may still do, and what ran."""

    def __init__(self, store, record):
        self.store, self.record, self.made = store, record, {}
        self.runs, self.makers, self.waits = {}, [], []
        self.faulty, self.answers, self.extras = None, 0, 0
        self.next_crash_at = 0.0

    def extra_allowed(self):
        return (self.extras + 1) <= ANSWERS * self.answers

    async def crash_maker_of(self, handle):
        """The stage replica crashes, and is back after some seconds."""
        maker = next(it for it in self.makers if handle.startswith(it.address + "/"))
        self.record("srv_crash: stage replica", maker.id, "crashes; it comes back in", DOWN_S, "s")
        maker.crash()
        await asyncio.sleep(DOWN_S)
        await maker.restart()
        await self.store.put("servers", maker.old_id, None)
        await maker.register(self.store)


class Maker(s.StageReplica):
    """A stage replica that can crash."""

    def __init__(self, *args):
        super().__init__(*args)
        self.writers, self.old_id = set(), ""

    async def run(self, reader, writer):
        self.writers.add(writer)
        await super().run(reader, writer)
        self.writers.discard(writer)

    def crash(self):
        self.server.close()
        for it in self.writers:
            it.transport.abort()
        self.held.clear()

    async def restart(self):
        self.old_id, self.id = self.id, "i-" + secrets.token_hex(5)
        self.turn = asyncio.Lock()
        self.server = await asyncio.start_server(self.run, self.ip, self.port, limit=1 << 24)


class Engine(s.Replica):
    """A model replica: waits, fetches the results, runs."""

    def __init__(self, ip, record, world):
        super().__init__(ip, "model-pool", record, slots=8)
        self.world = world

    async def channel(self, reader, writer):
        extra = b""
        while True:
            request = await s.read_request(reader)
            if request is None:
                return
            if extra:
                self.record("garble: model replica", self.id, "sends its last answer once more, late")
                writer.write(extra)
                await writer.drain()
                extra = b""
            answer = self.refusal(request)
            if answer is None:
                answer, extra = await self.serve(request, writer)
            writer.write(answer)
            await writer.drain()

    async def serve(self, request, writer):
        world, ident = self.world, request.get("attempt-id")
        inputs = [it for it in request.get("inputs", "").split(",") if it]
        self.record("model replica", self.id, "gets", ident, "with", " ".join(inputs))
        if world.faulty is None:
            world.faulty = self
        if TROUBLE and world.faulty is self and world.extra_allowed() and time.monotonic() > world.next_crash_at:
            world.next_crash_at = time.monotonic() + DOWN_S + 4
            asyncio.create_task(world.crash_maker_of(inputs[0]))
        await asyncio.sleep(QUEUE_S)
        if world.faulty is self:
            world.answers += 1
        held = set().union(*(it.held for it in world.makers))
        if not all(it in held for it in inputs):
            self.record("model replica", self.id, "answers 409, not run, to", ident)
            answer = s.answer_bytes(409, self.common(request) + [("Not-Executed", "1")], b"")
            again = TROUBLE and world.faulty is self and world.extra_allowed()
            world.extras += again
            return answer, answer if again else b""
        world.runs[ident] = world.runs.get(ident, 0) + 1
        self.record("model replica", self.id, "runs", ident, "for the", world.runs[ident], "time")
        out = b""
        for n in range(3):
            data = b"id: %d\ndata: piece\n\n" % (n + 1)
            out += b"%x\r\n%s\r\n" % (len(data), data)
        head = ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % ((ident,) + self.seal()))
        return head.encode() + out + b"0\r\n\r\n", b""


async def case(record, folder, cleanup):
    store = await s.Store("127.0.0.1").start()
    world = World(store, record)
    for _ in range(MAKERS):
        it = await Maker("127.0.0.1", "order-desk", record, world.made, 240.0, 17.0).start()
        world.makers.append(it)
        await it.register(store)
    for _ in range(2):
        await (await Engine("127.0.0.1", record, world).start()).register(store)
    route = {"name": "r-brief", "host": "desk.example", "prefix": "/brief/", "kind": "streaming",
             "timeout_ms": 15000, "target_latency_ms": 1100, "priority": 0, "service": "model-pool",
             "max_attempts": 1, "allow_anonymous": True, "session_affinity": True, "stream_resume": False,
             "gap_aim_ms": 300, "stages": [{"service": "order-desk", "after": [], "bytes": 8000}]}
    services = [{"name": "model-pool", "health_path": "/healthz", "max_connections": 500, "protocol": "h1",
                 "tls": False, "engine": {"slots": 8, "kv_capacity_tokens": 1071844, "token_kv_bytes": 18432,
                                          "link_mbps": 88000.0, "stride": 6, "handle_s": 5.0,
                                          "models": [{"name": "m"}]}},
                {"name": "order-desk", "health_path": "/healthz", "max_connections": 500, "protocol": "h1",
                 "tls": False, "pieces": {"slots": 1, "queue": 2, "batch": 12, "call_ms": 240.0, "item_ms": 17.0,
                                          "room_mb": 14.0, "handle_s": 4.0, "link_mbps": 10000}}]
    await store.put("op", "config", s.plain_config([route], services))
    gateway = s.Gateway("front-hall-a-1", "127.0.0.1", "hall-a", store, folder)
    cleanup.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(3.5)
    statuses, end = {}, time.monotonic() + LENGTH_S
    while time.monotonic() < end:
        ident = secrets.token_hex(8)
        fields = [("Host", "desk.example"), ("Attempt-Id", ident), ("Model", "m"), ("Token-Usage", "620,40"),
                  ("Prompt-Prefix", "5c1e07a2:120,%s:500" % secrets.token_hex(4)),
                  ("Pieces", "1"), ("Piece-Key", secrets.token_hex(6)), ("Deadline-Ms", "15000")]
        record("client sends", ident)
        status, _, _, whole = await s.call(gateway.front, "POST", "/brief/2f", fields, b"q" * 200)
        record("client gets", status, "whole" if whole else "cut", "for", ident)
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.05)
    twice = [it for it, n in world.runs.items() if n > 1]
    record("answers by status: %s; %d answers of the faulty replica, %d of them sent twice"
           % (statuses, world.answers, world.extras))
    record("%d requests ran more than once: %s" % (len(twice), " ".join(twice)))
    return twice


sys.exit(s.run_case(case, os.path.join(HERE, "record.txt")))
