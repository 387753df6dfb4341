"""Stand-in for the platform's metadata store, by PROTOCOL.md.

Serves rows-tx, rows-get and rows-feed over HTTP/1.1 from memory, inside the
event loop of the script that uses it. The operator and the replicas of a script
write rows through `put` and `remove`.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

MAX_ROWS = 500


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value text or None, version)
        self.version = 0
        self.changed = asyncio.Event()
        self.address = None
        self.server = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self._write((table, "", key), text)
        self._wake()
        return time.monotonic()

    def remove(self, table, key):
        self.version += 1
        self._write((table, "", key), None)
        self._wake()

    def _write(self, key, text):
        self.rows[key] = (text, self.version)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key):
        text, version = self.rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if text is None:
            row["removed"] = True
        else:
            row["value"] = text
        return row

    def _answer(self, rows, truncated=False, version=None):
        return {
            "rows": rows,
            "truncated": truncated,
            "ver": self.version if version is None else version,
            "now_ms": int(time.monotonic() * 1000),
        }

    def _transaction(self, call):
        wrong = []
        for it in call.get("expected_rev", []):
            key = (it["table"], it["part"], it["key"])
            text, version = self.rows.get(key, (None, 0))
            if (0 if text is None else version) != it["ver"]:
                wrong.append(key)
        if wrong:
            rows = [self._row(it) for it in wrong if it in self.rows]
            return 412, self._answer(rows)
        self.version += 1
        for it in call.get("writes", []):
            self._write((it["table"], it["part"], it["key"]), it["value"])
        for it in call.get("remove", []):
            self._write((it["table"], it["part"], it["key"]), None)
        self._wake()
        return 200, self._answer([])

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        keys = sorted(
            k
            for k, (text, _) in self.rows.items()
            if k[:2] == (table, part)
            and text is not None
            and k[2] >= first
            and (last is None or k[2] < last)
        )
        rows = [self._row(k) for k in keys[:limit]]
        return 200, self._answer(rows, len(keys) > limit)

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        while True:
            wake = self.changed
            keys = [
                k
                for k, (_, version) in self.rows.items()
                if k[0] == table and version > after
            ]
            keys.sort(key=lambda k: self.rows[k][1])
            left = end - time.monotonic()
            if keys or left <= 0:
                return 200, self._answer([self._row(k) for k in keys])
            try:
                await asyncio.wait_for(wake.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _call(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if method == "POST" and parts.path == "/rows-tx":
            await asyncio.sleep(0.005)
            return self._transaction(json.loads(body))
        if method == "GET" and parts.path == "/rows-get":
            return self._get(query)
        if method == "GET" and parts.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                length = 0
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                status, answer = await self._call(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()
