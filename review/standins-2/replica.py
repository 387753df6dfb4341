"""Stand-in for a replica of a plain service, by PROTOCOL.md: one process.

Usage: replica.py ID SERVICE CRASH WORK_MS
CRASH is what a request does whose path holds the word `poison`, after the work:
`none` nothing, `kill` ends this process at once, `dark` stops it, so that it is
silent until the script ends it. `none` becomes `kill` on SIGUSR1. Prints "port N" once it listens, then one JSON
line for each request that it begins to run and for each crash.
"""

import asyncio
import json
import os
import signal
import sys

SLOTS = 6
NAME, SERVICE, CRASH, WORK_MS = (
    sys.argv[1],
    sys.argv[2],
    sys.argv[3],
    float(sys.argv[4]),
)
SIGNALS = {"kill": signal.SIGKILL, "dark": signal.SIGSTOP}
crash = CRASH
running = 0


def begin_to_crash():
    global crash
    crash = "kill"


def say(**event):
    sys.stdout.write(json.dumps(event) + "\n")
    sys.stdout.flush()


def answer(status, fields, body=b""):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % it for it in fields.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def run(method, target, fields, body):
    global running
    own = {"Replica-Load": "%d,0,%d" % (min(running, SLOTS), SLOTS)}
    if target == "/healthz":
        return answer(200, {"Replica-Id": NAME, **own})
    if fields.get("expect-replica", NAME) != NAME:
        return answer(421, {"Replica-Id": NAME})
    if target == "/report":
        return answer(200, {"Content-Type": "application/json"}, b"{}")
    attempt = fields.get("attempt-id")
    if attempt is None:
        return answer(400, {"Not-Executed": "1"})
    if running >= SLOTS:
        return answer(503, {"Not-Executed": "1", "Attempt-Id": attempt, **own})
    running += 1
    say(run=attempt, path=target)
    await asyncio.sleep(WORK_MS / 1000)
    if crash in SIGNALS and "poison" in target:
        say(crash=attempt)
        os.kill(os.getpid(), SIGNALS[crash])
    running -= 1
    return answer(
        200,
        {"Attempt-Id": attempt, "Replica-Seal": "seal-" + attempt, **own},
        b"done " + attempt.encode(),
    )


async def serve(reader, writer):
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
            writer.write(await run(method, target, fields, body))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    finally:
        writer.close()


async def main():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, begin_to_crash)
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("port", server.sockets[0].getsockname()[1], flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
