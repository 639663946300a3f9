"""Gateways of a small deployment as processes, and clients of them."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import traceback
from pathlib import Path

import platform_standin as standin

ROOT = Path(__file__).resolve().parent.parent.parent

# The command of deploy/system.toml.
COMMAND = ["target/release/fulmarhead-gateway", "--ops-port", "9464"]

KEY = "key-1"
HOSTNAME = "desk.example"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((standin.HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Gateway:
    """One process of the gateway, which can be killed and started again."""

    def __init__(self, name, zone, store_port, ports, seeds, folder, **figures):
        self.name = name
        self.caller, self.ready, self.control = ports
        self.settings = Path(folder) / f"{name}.conf"
        self.settings.write_text(standin.settings(name, zone, store_port, ports, seeds, **figures))
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FULMARHEAD_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def has_ended(self):
        return self.process.poll() is not None

    def kill(self):
        if self.process is not None and not self.has_ended():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def resident_mb(self):
        """Returns the resident memory of the process in MB (2^20 bytes); 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(text.split("VmRSS:")[1].split()[0]) / 1024
        except (OSError, IndexError):
            return 0

    async def readiness(self):
        """Asks for readiness as the platform does; 0 stands for no response."""
        try:
            reader, writer = await asyncio.open_connection(standin.HOST, self.ready)
            writer.write(b"GET /fulmarhead/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(standin.read_head(reader), 1)
            writer.close()
            return int(message[0].split(" ")[1]) if message else 0
        except (OSError, asyncio.TimeoutError):
            return 0

    async def wait_ready(self, seconds):
        for _ in range(int(seconds * 10)):
            if await self.readiness() == 200:
                return True
            await asyncio.sleep(0.1)
        return False


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def head(method, path, deadline_ms, attempt, lines=()):
    """Returns the head of a request without the empty line at its end."""
    text = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"X-Fulmarhead-Attempt-Id: {attempt}",
        f"X-Fulmarhead-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        *lines,
    ]
    return "\r\n".join(text) + "\r\n"


async def read_response(reader):
    """Returns the status of a complete response, or None if the connection ends before one."""
    message = await standin.read_head(reader)
    if message is None:
        return None
    line, headers = message
    await standin.read_body(reader, headers)
    return int(line.split(" ")[1])


async def exchange(reader, writer, path, deadline_ms, close):
    """Sends an idempotent request and returns the status of its complete response."""
    lines = ["Connection: close"] if close else []
    writer.write((head("GET", path, deadline_ms, new_attempt(), lines) + "\r\n").encode())
    await writer.drain()
    return await read_response(reader)


async def attempt_once(port, path, deadline_ms, patience_s):
    """Makes one client attempt on a new connection and returns its outcome in words."""
    try:
        opening = asyncio.open_connection(standin.HOST, port)
        reader, writer = await asyncio.wait_for(opening, 1.0)
    except ConnectionRefusedError:
        return "connection refused"
    except (OSError, asyncio.TimeoutError):
        return "no connection within 1 s"
    try:
        answer = exchange(reader, writer, path, deadline_ms, True)
        status = await asyncio.wait_for(answer, patience_s)
        return "connection closed" if status is None else f"answer {status}"
    except asyncio.TimeoutError:
        return f"connected, not answered within {patience_s:g} s"
    except (OSError, asyncio.IncompleteReadError):
        return "connection closed"
    finally:
        writer.close()


async def desk(count=3, kind="idempotent", timeout_ms=5000, attempts=2):
    """Starts a store with a configuration and `count` application workers; returns both."""
    store = standin.Store()
    await store.start()
    workers = []
    for number in range(count):
        worker = await standin.Worker(f"i-{number}", "desk", "amd-a").start()
        store.put(f"servers/{worker.name}", worker.record())
        workers.append(worker)
    routes = [standin.route("r-1", "/stock/", kind, "desk", timeout_ms=timeout_ms, attempts=attempts)]
    services = [standin.application_service("desk")]
    tenants = [{"name": "team-1", "apiKeys": [KEY]}]
    store.put("op/config", standin.configuration(7, routes, services, tenants))
    return store, workers


def engine_service(name):
    """Returns a service of model workers as the users' page shows one."""
    runtime = {
        "batchSlots": 12,
        "kvCapacity": 344250,
        "kvBytes": 163840,
        "bandwidthMbps": 400000.0,
        "stride": 38,
        "models": [{"name": "m"}],
        "step_ms": 1.31,
        "per_seq_ms": 0.000917,
        "context_per_k": 0.00213,
        "read_per_s": 154000.0,
        "pairs_per_m": 0.162,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 12930, "answer": 1307},
        "hopMs": 0.1,
    }
    service = standin.application_service(name)
    return service | {"maxConnections": 438, "warmupS": 3.0, "warmupPerS": 36.0, "runtime": runtime}


def run_case(main):
    """Runs `main` with a temporary folder and exits with its result, or with 2 if the case couldn't
    run. SIGTERM ends the case, and `main` then ends its processes."""

    def stop(*_):
        sys.exit(2)

    signal.signal(signal.SIGTERM, stop)
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(main(folder))
        except Exception:
            traceback.print_exc()
            code = 2
    sys.exit(code)
