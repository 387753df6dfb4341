"""Stand-ins for replicas of stages and for model replicas, by PROTOCOL.md.

They run inside the event loop of the script. A stage's replica makes one call at
a time, `queue` more wait; results have handles IP:PORT/ID and are kept until they
are freed. A model replica answers with a short stream of events.
"""

import asyncio
import json

EVENTS = 4


class Replica:
    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def load(self):
        return {}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                length = int(fields.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                if fields.get("expect-replica", self.name) != self.name:
                    await send(writer, 421, {"Replica-Id": self.name})
                elif target == "/report":
                    await send(writer, 200, {}, {"queued": 0, "busy": False})
                else:
                    await self.answer(writer, target, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


async def send(writer, status, fields, body=None):
    text = b"" if body is None else json.dumps(body).encode()
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % it for it in fields.items()]
    lines += ["Content-Type: application/json", "Content-Length: %d" % len(text)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
    await writer.drain()


class StageReplica(Replica):
    def __init__(self, name, zone, limits):
        super().__init__(name, zone)
        self.limits = limits
        self.turn = asyncio.Lock()
        self.calls = 0
        self.made = 0
        self.results = set()

    async def answer(self, writer, target, fields, body):
        call = json.loads(body) if body else {}
        if target == "/stage-free":
            self.results.difference_update(call["handles"])
            await send(writer, 200, {}, {})
            return
        if target != "/stage-run":
            await send(writer, 400, {"Not-Executed": "1"})
            return
        if self.calls > self.limits["queue"]:
            await send(writer, 503, {"Not-Executed": "1"})
            return
        self.calls += 1
        try:
            async with self.turn:
                ms = self.limits["call_ms"] + self.limits["item_ms"] * len(call["items"])
                await asyncio.sleep(ms / 1000)
        finally:
            self.calls -= 1
        items = []
        for _ in call["items"]:
            self.made += 1
            handle = "%s/%011x" % (self.address, 0x5C1E07A2000 + self.made)
            self.results.add(handle)
            items.append({"handle": handle})
        load = "%d,%d,1" % (min(self.calls, 1), max(0, self.calls - 1))
        await send(writer, 200, {"Replica-Load": load}, {"items": items})


class ModelReplica(Replica):
    async def answer(self, writer, target, fields, body):
        attempt = fields.get("attempt-id")
        if attempt is None or "inputs" not in fields:
            await send(writer, 400, {"Not-Executed": "1"})
            return
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: seal-%s\r\n"
                "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % (attempt, attempt)
            ).encode()
        )
        for n in range(1, EVENTS + 1):
            await asyncio.sleep(0.03)
            event = b"id: %d\ndata: event %d\n\n" % (n, n)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
