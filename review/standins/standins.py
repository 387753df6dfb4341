"""Stand-ins for the platform's store, replicas and clients, on loopback.

They speak what the users' PROTOCOL.md says, and behave like sound ones unless
a case asks for a disruption. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SITE_SETTINGS = """machine_class=front
serves=front
region=valley-north
zones.hall-a=valley-north
zones.hall-b=valley-north
bootstrap=true
loss_counts=false
limits.cpu_share=1
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
bounds.grace_s=8
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


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = "%8.3f s  %s" % (time.monotonic() - self.start, " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_request(reader):
    """The next request on a channel, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, fields, body)


def answer_bytes(status, fields, body):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    out = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Status"))
    for name, value in fields:
        out += "%s: %s\r\n" % (name, value)
    return (out + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Server:
    """Serves each channel with `channel`; one request at a time."""

    def __init__(self, ip):
        self.ip, self.port, self.server = ip, 0, None

    async def start(self):
        self.server = await asyncio.start_server(self.run, self.ip, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def run(self, reader, writer):
        try:
            await self.channel(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def channel(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            writer.write(await self.answer(request))
            await writer.drain()


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, ip):
        super().__init__(ip)
        self.rows, self.ver, self.changed = {}, 0, asyncio.Condition()

    def view(self, place):
        row = self.rows[place]
        out = {"table": place[0], "part": place[1], "key": place[2], "ver": row[1]}
        if row[0] is None:
            out["removed"] = True
        else:
            out["value"] = row[0]
        return out

    async def put(self, table, key, value):
        """The operator or a replica writes a row; None removes it."""
        async with self.changed:
            self.ver += 1
            text = None
            if value is not None:
                text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, "", key)] = (text, self.ver)
            self.changed.notify_all()

    async def answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/rows-tx":
            return await self.transaction(json.loads(request.body))
        table = query.get("table", "")
        if url.path == "/rows-get":
            rows = [self.view(p) for p in sorted(self.rows)
                    if p[0] == table and p[1] == query.get("part", "") and self.rows[p][0] is not None
                    and query.get("from", "") <= p[2]]
            return self.say({"rows": rows, "truncated": False})
        if url.path == "/rows-feed":
            return await self.feed(table, int(query["after"]), int(query.get("wait_ms", "0")))
        return answer_bytes(404, [], b"")

    def say(self, body, status=200):
        body.update({"ver": self.ver, "now_ms": int(time.monotonic() * 1000)})
        return answer_bytes(status, [("Content-Type", "application/json")], json.dumps(body).encode())

    def changes(self, table, after):
        new = [p for p in self.rows if p[0] == table and self.rows[p][1] > after]
        return [self.view(p) for p in sorted(new, key=lambda p: self.rows[p][1])]

    async def feed(self, table, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while not self.changes(table, after) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            return self.say({"rows": self.changes(table, after)})

    async def transaction(self, body):
        async with self.changed:
            for it in body.get("expected_rev", []):
                place = (it["table"], it.get("part", ""), it["key"])
                row = self.rows.get(place, (None, 0))
                if (row[1] if row[0] is not None else 0) != it["ver"]:
                    return self.say({"rows": [self.view(place)] if row[0] is not None else []}, 412)
            self.ver += 1
            for it in body.get("writes", []):
                self.rows[(it["table"], it.get("part", ""), it["key"])] = (it["value"], self.ver)
            for it in body.get("remove", []):
                self.rows[(it["table"], it.get("part", ""), it["key"])] = (None, self.ver)
            self.changed.notify_all()
            return self.say({})


class Replica(Server):
    """A replica of a plain service; `Expect-Replica` is honoured."""

    def __init__(self, ip, service, record, zone="hall-a", slots=8):
        super().__init__(ip)
        self.service, self.record, self.zone, self.slots = service, record, zone, slots
        self.id = "i-" + secrets.token_hex(5)

    def row(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}], "call_seq": 0}

    async def register(self, store):
        await store.put("servers", self.id, self.row())

    def refusal(self, request):
        """The answer to what this replica does not run, or None."""
        expected = request.get("expect-replica")
        if expected is not None and expected != self.id:
            return answer_bytes(421, self.common(request) + [("Replica-Id", self.id)], b"")
        if request.target == "/healthz":
            return answer_bytes(200, [("Replica-Id", self.id)], b"")
        if request.target == "/report":
            return answer_bytes(200, [("Content-Type", "application/json")], json.dumps(self.report()).encode())
        return None

    def report(self):
        return {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                "call_seq": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 1000000, "handles": 0}

    @staticmethod
    def common(request):
        """Replicas echo the request's id."""
        return [("Attempt-Id", request.get("attempt-id"))] if request.get("attempt-id") else []

    def seal(self):
        return ("Replica-Seal", self.id + "." + secrets.token_hex(6))


class StageReplica(Replica):
    """Makes pieces, one call at a time.

    `is_extra`: called with each answer to a call for pieces; if it returns
    true, that answer is sent a second time, late: at the point where the next
    response on the channel is expected.
    """

    def __init__(self, ip, service, record, made, call_ms=240.0, item_ms=17.0, is_extra=None, wrong=None, **kw):
        super().__init__(ip, service, record, slots=1, **kw)
        self.wrong = [] if wrong is None else wrong  # Pieces given inputs of another request.
        self.spoilt = set()  # Their handles.
        self.made, self.call_ms, self.item_ms = made, call_ms, item_ms
        self.turn, self.held, self.calls = asyncio.Lock(), set(), 0
        self.is_extra = is_extra or (lambda replica: False)

    def report(self):
        return {"queued": 0, "busy": self.turn.locked(), "free_mb": 14.0}

    async def channel(self, reader, writer):
        extra = b""
        while True:
            request = await read_request(reader)
            if request is None:
                return
            if extra:
                self.record("garble: replica", self.id, "sends its last answer once more, late")
                writer.write(extra)
                await writer.drain()
                extra = b""
            answer = self.refusal(request)
            if answer is None and request.target == "/stage-free":
                self.held -= set(json.loads(request.body)["handles"])
                answer = answer_bytes(200, self.common(request), b"")
            elif answer is None:
                answer = await self.make(request)
                if self.is_extra(self):
                    extra = answer
            writer.write(answer)
            await writer.drain()

    async def make(self, request):
        async with self.turn:
            items = json.loads(request.body)["items"]
            self.calls += 1
            self.record("replica", self.id, "runs a call for",
                        ", ".join("%s/%d/%d" % (it["id"], it["stage"], it["piece"]) for it in items))
            await asyncio.sleep((self.call_ms + self.item_ms * len(items)) / 1000)
            out = []
            for it in items:
                sources = [self.made.get(h, ("unknown", 0, 0)) for h in it.get("inputs", [])]
                foreign = any(source[0] != it["id"] for source in sources)
                if foreign:
                    self.wrong.append(it["id"])
                    self.record("WRONG: piece %s/%d/%d" % (it["id"], it["stage"], it["piece"]),
                                "is given inputs", sources)
                handle = "%s/%s" % (self.address, secrets.token_hex(6))
                self.made[handle] = (it["id"], it["stage"], it["piece"])
                self.held.add(handle)
                if foreign:
                    self.spoilt.add(handle)
                out.append({"handle": handle})
            return answer_bytes(200, self.common(request) + [("Content-Type", "application/json"),
                                                             ("Replica-Load", "0,0,1")],
                                json.dumps({"items": out}).encode())


async def connect(address, mss=0, buffer=0):
    """A channel of a client; with options for a slow or distant one."""
    ip, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setblocking(False)
    if mss:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
    if buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
    return sock


async def call(address, method, target, fields, body=b"", timeout=20.0):
    """One request on a new channel: (status, fields, body, whole)."""
    reader = writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address.rsplit(":", 1), limit=1 << 24), 1.0)
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write((head + "\r\n").encode() + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError) as e:
        return 0, {}, repr(e).encode(), False
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        return 0, {}, repr(e).encode(), False
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {k.strip().lower(): v.strip() for k, v in (it.split(":", 1) for it in lines[1:] if it)}
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return status, fields, body, True
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read()
        return status, fields, body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, fields, body, False


def free_ports(ip, count):
    """The first of `count` ports in a row that are free for TCP and UDP.

    They are below those that the kernel gives to outgoing connections.
    """
    firsts = list(range(12000, 32000, count))
    turn = secrets.randbelow(len(firsts))
    for first in firsts[turn:] + firsts[:turn]:
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    it = socket.socket(socket.AF_INET, kind)
                    held.append(it)
                    it.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for it in held:
                it.close()
    raise RuntimeError("no free ports")


def deploy_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as it:
        for line in it:
            if line.startswith("run = "):
                return line.split('"')[1].split(" ")
    raise RuntimeError("no command in the deploy file")


class Gateway:
    """One process of the project, started as the deploy file says."""

    def __init__(self, name, ip, zone, store, folder, bounds=None):
        self.name, self.ip, self.zone, self.store, self.folder = name, ip, zone, store, folder
        self.process = None
        first = free_ports(ip, 8)
        self.front, self.ready = "%s:%d" % (ip, first), "%s:%d" % (ip, first + 1)
        self.settings = os.path.join(folder, name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as it:
            it.write("node_name=%s\nrole=gateway\nip=%s\nzone=%s\n" % (name, ip, zone))
            it.write("listen.front=%s\nlisten.ready_addr=%s\n" % (self.front, self.ready))
            it.write("internal_ports=%d,%d\n" % (first + 2, first + 7))
            it.write(SITE_SETTINGS)
            it.write("platform.address=%s\n" % store.address)
            for field, value in (bounds or {}).items():
                it.write("bounds.%s=%s\n" % (field, value))

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8",
               "ACACIACHUTE_BOOT": self.settings}
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(deploy_command(), cwd=ROOT, env=env, stdout=log, stderr=log)

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if (await call(self.ready, "GET", "/readyz", [("Host", self.ready)], timeout=1.0))[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(self.name + " does not get ready")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def plain_config(routes, services):
    return {"version": 7, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run_case(case, record_path):
    """Runs `case(record, folder, cleanup)`: 1 broken, 0 held, 2 could not run."""
    record = Record(record_path)
    folder = tempfile.mkdtemp(prefix="review-")
    cleanup = []

    def stop(number, frame):
        for it in cleanup:
            it.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def limited():
        return await asyncio.wait_for(case(record, folder, cleanup), 110)

    try:
        broken = asyncio.run(limited())
        code = 1 if broken else 0
    except Exception as e:  # The case could not run; the record says why.
        record("could not run:", repr(e))
        code = 2
    finally:
        for it in cleanup:
            it.end()
    record("result:", {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    if os.environ.get("KEEP_LOGS"):
        print("logs in", folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    record.close()
    os._exit(code)  # Without waiting for channels that the stand-ins still serve.
