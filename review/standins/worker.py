"""Stand-in of a worker, as a process of its own.

It follows PROTOCOL.md: it answers 421 to a request that names another instance, echoes the attempt
id, signs its answers and writes events with consecutive ids. What happens is printed as one JSON
object a line. The only argument is a JSON object:

  id, kind ("engine" or "application"), port (0: any)
  events, prefill_ms, gap_ms   length and pace of a stream
  framing                      "chunked", or "close": no length, the answer ends with its connection
  head                         "early": the head is sent as the prompt is admitted; "late": with the
                               first event
  work_ms                      duration of a call of an application
  deadly                       part of a prompt that crashes this worker when it begins to write
  deadly_after                 events that are written before that crash
  junk                         share of the streams, once the worker is in trouble, in which bytes that
                               are no answer follow the third event without end, until the caller
                               closes
"""

import asyncio
import json
import os
import signal
import sys

OPTIONS = json.loads(sys.argv[1])
NAME = OPTIONS["id"]
# Headers that a worker which leaves adds to each answer; SIGUSR1 says that it leaves.
LEAVING, LEAVES = {}, {"Server-Leaving": "1", "Connection": "close"}
signal.signal(signal.SIGUSR1, lambda *_: LEAVING.update(LEAVES))
# SIGUSR2 says that the worker is in trouble.
TROUBLE = []
signal.signal(signal.SIGUSR2, lambda *_: TROUBLE.append(True))


def say(what, **fields):
    print(json.dumps({"what": what, "worker": NAME, **fields}), flush=True)


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    method, path, _ = first.split(" ", 2)
    return method, path, headers


def head(status, headers):
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in {**headers, **LEAVING}.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def crash(request):
    say("crashed", request=request)
    os.kill(os.getpid(), signal.SIGKILL)


async def stream(writer, request, headers, last):
    chunked = OPTIONS.get("framing", "chunked") == "chunked"
    parts = [entry.split(":")[0] for entry in headers.get("x-fulmarhead-prefix-hash", "").split(",")]
    deadly = OPTIONS.get("deadly") in parts
    spoiled = bool(TROUBLE) and int(request[:4] or "0", 16) / 0x10000 < OPTIONS.get("junk", 0)
    answer = {
        "X-Fulmarhead-Attempt-Id": request,
        "X-Fulmarhead-Response-Signature": f"{NAME}.{request}",
        "Content-Type": "text/event-stream",
    }
    answer["Transfer-Encoding" if chunked else "Connection"] = "chunked" if chunked else "close"
    prefill = OPTIONS.get("prefill_ms", 20) / 1e3
    if OPTIONS.get("head", "late") == "early":
        writer.write(head(200, answer))
        await writer.drain()
        await asyncio.sleep(prefill)
    else:
        await asyncio.sleep(prefill)
        writer.write(head(200, answer))
        await writer.drain()
    say("begins", request=request)
    for number in range(last + 1, OPTIONS.get("events", 8) + 1):
        if deadly and number > last + OPTIONS.get("deadly_after", 0):
            await asyncio.sleep(0.01)
            crash(request)
        if spoiled and number > last + 3:
            say("spoils", request=request)
            await junk(writer, chunked)
            return
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
        await writer.drain()
        if writer.transport.is_closing():
            return
        await asyncio.sleep(OPTIONS.get("gap_ms", 20) / 1e3)
    if chunked:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    say("done", request=request)


async def junk(writer, chunked):
    """Sends lines of a log, which are no events of the stream, until the caller closes."""
    line = b"worker: no memory for block 17, trying again\n\n"
    while not writer.transport.is_closing():
        writer.write(b"%x\r\n%s\r\n" % (len(line), line) if chunked else line)
        await writer.drain()
        await asyncio.sleep(0.05)


async def call(writer, request):
    await asyncio.sleep(OPTIONS.get("work_ms", 15) / 1e3)
    body = f"answer of {NAME} to {request}".encode()
    writer.write(head(200, {
        "X-Fulmarhead-Attempt-Id": request,
        "X-Fulmarhead-Response-Signature": f"{NAME}.{request}",
        "Content-Length": len(body),
    }) + body)
    await writer.drain()
    say("done", request=request)


async def serve(reader, writer):
    try:
        method, path, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers.get("x-fulmarhead-attempt-id", "")
        expected = headers.get("x-fulmarhead-expect-instance", NAME)
        if expected != NAME:
            say("misdirected", request=request, expected=expected)
            writer.write(head(421, {"X-Fulmarhead-Attempt-Id": request, "Content-Length": 0,
                                    "X-Fulmarhead-Not-Executed": "1"}))
            await writer.drain()
        elif path == "/fulmarhead/order":
            writer.write(head(200, {"Content-Length": 11}) + b'{"free":1} ')
            await writer.drain()
        else:
            last = int(headers.get("last-event-id", "0"))
            say("runs", request=request, method=method, path=path, last=last, bytes=len(body),
                parts=headers.get("x-fulmarhead-prefix-hash", ""))
            if OPTIONS["kind"] == "engine":
                await stream(writer, request, headers, last)
            else:
                await call(writer, request)
    except (ConnectionError, asyncio.IncompleteReadError):
        say("connection ended")
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", OPTIONS.get("port", 0))
    say("listens", port=server.sockets[0].getsockname()[1])
    async with server:
        await server.serve_forever()


asyncio.run(main())
