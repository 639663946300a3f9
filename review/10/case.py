"""Prompts with a part that crashes workers, while few other prompts come."""

import asyncio
import os
import random
import socket
import struct
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
sys.dont_write_bytecode = True

import deployment  # noqa: E402
import platform_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

WORKERS = 12
# Time for which a crashed worker is away: "some seconds".
DOWN_S = 3.0
# The settings' heartbeatMs.
HEARTBEAT_S = 1.2
# Time between two requests with the part that crashes workers, and between two sound ones.
TAINTED_EVERY_S = 1.0
SOUND_EVERY_S = 20.0
DAY_S = 60.0
# The bound contactMs of the site.
CONTACT_S = 4.0
# Crash after which the bound counts, and the requests that may reach workers after it.
COUNTED_CRASH = 5
ALLOWED = 3
FIRST_PART, BAD_PART = "5c1e07a2", "bad0bad0"
DEADLINE_MS = 10000
EVENTS = 20


class Engine(standin.Worker):
    """Model worker that writes events, and whose process ends when it begins to answer a prompt
    with the bad part. It is back, as a new incarnation, after some seconds."""

    def __init__(self, number, case):
        super().__init__(f"i-{number}-0", "pool", "amd-a")
        self.number, self.case = number, case
        self.incarnation = 0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, standin.HOST, self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.case.store.put(f"servers/{self.name}", self.record())
        return self

    async def crash(self):
        self.server.close()
        for writer in list(self.writers):
            # A process that ends with unread bytes resets its connections.
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        asyncio.create_task(self.lapse(f"servers/{self.name}"))
        await asyncio.sleep(DOWN_S)
        self.incarnation += 1
        self.name = f"i-{self.number}-{self.incarnation}"
        self.born = int(time.time() * 1000)
        await self.start()

    async def lapse(self, key):
        """Removes the entry of an incarnation after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.case.store.delete(key)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            message = await standin.read_head(reader)
            if message is not None:
                _, headers = message
                await standin.read_body(reader, headers)
                await self.write_events(headers, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def write_events(self, headers, writer):
        attempt = headers.get("x-fulmarhead-attempt-id", "")
        if headers.get("x-fulmarhead-expect-instance", self.name) != self.name:
            identity = [("X-Fulmarhead-Instance-Id", self.name)]
            writer.write(standin.response("421 Misdirected Request", b"", identity))
            await writer.drain()
            return
        tainted = BAD_PART in headers.get("x-fulmarhead-prefix-hash", "")
        self.case.arrived(self, attempt, tainted)
        await asyncio.sleep(0.03)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Fulmarhead-Attempt-Id: {attempt}\r\n"
            f"X-Fulmarhead-Response-Signature: {self.name}.{attempt}\r\n\r\n"
        )
        writer.write(head.encode())
        await writer.drain()
        if tainted:
            self.case.crashed(self)
            asyncio.create_task(self.crash())
            return await asyncio.sleep(DOWN_S)
        last = int(headers.get("last-event-id", "0"))
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: token\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.04)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Case:
    def __init__(self):
        self.record = standin.Record(FOLDER / "record.txt")
        self.store = standin.Store()
        self.crashes = []
        self.tainted = []
        self.outcomes = {}

    def arrived(self, engine, attempt, tainted):
        kind = "tainted" if tainted else "sound"
        self.record.write(f"{engine.name}: {kind} request {attempt} arrives")
        if tainted:
            self.tainted.append(time.monotonic())

    def crashed(self, engine):
        self.crashes.append(time.monotonic())
        self.record.write(f"{engine.name}: crash {len(self.crashes)}")

    async def send(self, port, tainted):
        """Sends a prompt; its second part is the bad one, or another, and its last its own."""
        kind = "tainted" if tainted else "sound"
        second = BAD_PART if tainted else "91bd3f06"
        own = f"{random.getrandbits(32):08x}"
        lines = [
            "Content-Length: 0",
            "Connection: close",
            "X-Fulmarhead-Model: m",
            "X-Fulmarhead-Token-Usage: 5000,760",
            f"X-Fulmarhead-Prefix-Hash: {FIRST_PART}:40,{second}:400,{own}:4560",
        ]
        head = deployment.head("POST", "/chat/x", DEADLINE_MS, deployment.new_attempt(), lines)
        outcome, writer = "broken off", None
        try:
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            writer.write((head + "\r\n").encode())
            data = await asyncio.wait_for(reader.read(12), 12)
            status = data.decode()[9:12] or "no answer"
            rest = await asyncio.wait_for(reader.read(), 12) if status == "200" else b""
            complete = status != "200" or rest.endswith(b"0\r\n\r\n")
            outcome = status if complete else "200, broken off"
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.write(f"caller: {kind} prompt: {outcome}")
        key = f"{kind}: {outcome}"
        self.outcomes[key] = self.outcomes.get(key, 0) + 1

    async def send_often(self, ports, tainted, interval, end):
        number = 0
        sends = []
        while time.monotonic() < end:
            sends.append(asyncio.create_task(self.send(ports[number % len(ports)], tainted)))
            number += 1
            await asyncio.sleep(interval)
        await asyncio.gather(*sends)


async def main(folder):
    case = Case()
    await case.store.start()
    engines = [await Engine(number, case).start() for number in range(WORKERS)]
    pool = deployment.engine_service("pool")
    chat = standin.route("r-1", "/chat/", "streaming", "pool", timeout_ms=10000, aim_ms=250, attempts=2)
    chat |= {"resumable": True, "sessionAffinity": True, "targetGapMs": 250}
    tenants = [{"name": "team-1", "apiKeys": [deployment.KEY]}]
    case.store.put("op/config", standin.configuration(7, [chat], [pool], tenants))
    ports = [deployment.free_ports(3) for _ in range(2)]
    seeds = [control for _, _, control in ports]
    gateways = [
        deployment.Gateway(f"edge-{number}", "amd-a", case.store.port, ports[number], seeds, folder)
        for number in range(2)
    ]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready(10):
                return 2
        await asyncio.sleep(CONTACT_S)
        callers = [gateway.caller for gateway in gateways]
        end = time.monotonic() + DAY_S
        sends = [case.send_often(callers, False, SOUND_EVERY_S, end)]
        if TROUBLE:
            sends.append(case.send_often(callers, True, TAINTED_EVERY_S, end))
        await asyncio.gather(*sends)
        late = 0
        if len(case.crashes) >= COUNTED_CRASH:
            bound = case.crashes[COUNTED_CRASH - 1] + CONTACT_S
            late = sum(at > bound for at in case.tainted)
        for outcome, count in sorted(case.outcomes.items()):
            case.record.write(f"{count} times {outcome}")
        case.record.write(f"{len(case.crashes)} crashes of {len(engines)} workers")
        case.record.write(
            f"{late} requests with the part reached workers later than {CONTACT_S:g} s after "
            f"crash {COUNTED_CRASH}; the rule allows {ALLOWED}"
        )
        broken = late > ALLOWED or any(gateway.has_ended() for gateway in gateways)
        case.record.write("BUDGET is broken" if broken else "BUDGET holds")
        return 1 if broken else 0
    finally:
        for gateway in gateways:
            gateway.kill()


deployment.run_case(main)
