"""A model replica's refusal comes a second time, late.

A stream needs one result of a stage. Now and then a model replica is busy, and
the result has expired when the request's turn comes. The replica answers 409
(not run), and once more, late. The request must run at most once.
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
HANDLE_S = 4.0  # How long a result lasts, as in the site file.
QUEUE_S = 0.2  # How long a request waits at a model replica before it begins.
BUSY_S = 4.3  # The same, for one request in 34, behind long prompts of others.
LENGTH_S = 90.0


class World:
    """What ran, and what the disruption may still do."""

    def __init__(self, record):
        self.record, self.made, self.runs, self.makers = record, {}, {}, []
        self.faulty, self.answers, self.extras, self.busy_at = None, 0, 0, 0

    def extra_allowed(self):
        return TROUBLE and self.extras + 1 <= ANSWERS * self.answers

    def is_held(self, handle):
        return any(time.monotonic() - it.made_at.get(handle, -HANDLE_S) < HANDLE_S for it in self.makers)


class Maker(s.StageReplica):
    """A stage replica whose results expire."""

    def __init__(self, *args):
        super().__init__(*args)
        self.made_at = {}

    async def make(self, request):
        before = set(self.held)
        answer = await super().make(request)
        for it in self.held - before:
            self.made_at[it] = time.monotonic()
        return answer


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
        busy = world.faulty is self and ident not in world.runs and world.answers >= world.busy_at + 34
        if busy:
            world.busy_at = world.answers
        await asyncio.sleep(BUSY_S if busy else QUEUE_S)
        world.answers += world.faulty is self
        if not all(world.is_held(it) for it in inputs):
            self.record("model replica", self.id, "answers 409, not run, to", ident)
            answer = s.answer_bytes(409, self.common(request) + [("Not-Executed", "1")], b"")
            again = world.faulty is self and world.extra_allowed()
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
    world = World(record)
    for _ in range(5):
        it = await Maker("127.0.0.1", "order-desk", record, world.made, 240.0, 17.0).start()
        world.makers.append(it)
        await it.register(store)
    for _ in range(2):
        await (await Engine("127.0.0.1", record, world).start()).register(store)
    route = {"name": "r-brief", "host": "desk.example", "prefix": "/brief/", "kind": "streaming",
             "timeout_ms": 15000, "target_latency_ms": 1900, "priority": 0, "service": "model-pool",
             "max_attempts": 1, "allow_anonymous": True, "session_affinity": True, "stream_resume": False,
             "gap_aim_ms": 300, "stages": [{"service": "order-desk", "after": [], "bytes": 8000}]}
    services = [{"name": "model-pool", "health_path": "/healthz", "max_connections": 500, "protocol": "h1",
                 "tls": False, "engine": {"slots": 8, "kv_capacity_tokens": 1071844, "token_kv_bytes": 18432,
                                          "link_mbps": 88000.0, "stride": 6, "handle_s": 5.0,
                                          "models": [{"name": "m"}]}},
                {"name": "order-desk", "health_path": "/healthz", "max_connections": 500, "protocol": "h1",
                 "tls": False, "pieces": {"slots": 1, "queue": 2, "batch": 12, "call_ms": 240.0, "item_ms": 17.0,
                                          "room_mb": 14.0, "handle_s": HANDLE_S, "link_mbps": 10000}}]
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
