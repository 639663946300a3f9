"""Stand-ins of the platform's store and of an application worker, and settings of a small deployment.

Everything listens on 127.0.0.1. The store keeps items in memory and serves ranges and watches as the
pages of the users describe. The worker answers requests with its signature and a complete body.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


class Record:
    """Writes lines with the time since the start to the record of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the request line and the headers in lower case, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message with a length."""
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def response(status, body=b"", headers=()):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """Store of the platform."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self.publish(item)

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.publish({"key": key, "revision": self.revision, "deleted": True})

    def publish(self, event):
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                line, headers = message
                await read_body(reader, headers)
                _, target, _ = line.split(" ", 2)
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                status, document = await self.answer(parts.path, query)
                body = json.dumps(document).encode()
                writer.write(response(status, body, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/fulmarhead/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return "200 OK", {"items": page, "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/fulmarhead/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return "200 OK", {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/fulmarhead/kv-key" and query.get("key") in self.items:
            return "200 OK", self.items[query["key"]] | {"at": self.revision}
        return "404 Not Found", {}


class Worker:
    """Sound application worker, which serves one request at a time on a connection."""

    def __init__(self, name, service, zone, slots=6, work_s=0.015):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.running = 0
        self.runs = []
        self.port = None
        self.born = int(time.time() * 1000)

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def record(self, state="ready"):
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "batchSlots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 0,
            "born": self.born,
        }

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                line, headers = message
                await read_body(reader, headers)
                writer.write(await self.answer(line, headers))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers):
        identity = [("X-Fulmarhead-Instance-Id", self.name)]
        if headers.get("x-fulmarhead-expect-instance", self.name) != self.name:
            return response("421 Misdirected Request", b"", identity)
        attempt = headers.get("x-fulmarhead-attempt-id", "")
        own = identity + [("X-Fulmarhead-Attempt-Id", attempt)]
        if self.running >= self.slots:
            refusal = own + [("X-Fulmarhead-Not-Executed", "1")]
            return response("503 Service Unavailable", b"", refusal)
        self.running += 1
        self.runs.append(attempt)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        signed = own + [("X-Fulmarhead-Response-Signature", f"{self.name}.{len(self.runs)}")]
        return response("200 OK", b"x" * 800, signed)


def configuration(version, routes, services, tenants, idle_ms=15000):
    """Returns a configuration with the limits that the users' page shows."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": idle_ms,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def application_service(name):
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 96,
        "protocol": "h1",
        "tls": False,
        "warmupS": 0.0,
        "warmupPerS": 0.0,
    }


def route(name, prefix, kind, service, timeout_ms=600, aim_ms=100, attempts=1):
    return {
        "name": name,
        "hostname": "desk.example",
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "anonymous": False,
        "sessionAffinity": False,
        "resumable": False,
    }


def settings(name, zone, store_port, ports, seeds, memory_mb=160):
    """Returns the settings file of a small edge machine, with the figures of shiftline-amd-grown."""
    caller, ready, control = ports
    lines = {
        "nodeName": name,
        "role": "gateway",
        "machineClass": "edge",
        "serves": "edge,control",
        "ip": HOST,
        "zone": zone,
        "region": "guj-west",
        f"zones.{zone}": "guj-west",
        "listen.frontend": f"{HOST}:{caller}",
        "listen.ready": f"{HOST}:{ready}",
        "listen.controlPlane": f"{HOST}:{control}",
        "seeds": ",".join(f"{HOST}:{port}" for port in seeds),
        "bootstrap": "true",
        "inTolerance": "false",
        "limits.cpuQuota": "0.09",
        "limits.cores": "1",
        "limits.memoryMb": str(memory_mb),
        "limits.maxFds": "4100",
        "limits.bandwidthMbps": "20.0",
        "limits.diskMb": "0",
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": "1200",
        "bounds.seedLagS": "3",
        "bounds.reuseAfterS": "2",
        "bounds.contactMs": "4000",
        "bounds.ackMs": "6000",
        "bounds.catchUpS": "6",
        "bounds.drainMs": "3000",
        "bounds.graceS": "8",
        "bounds.lossSlackMs": "200",
        "bounds.configApplyMs": "3000",
        "bounds.rollbackSlackMs": "250",
        "bounds.maxSkewMs": "6000",
        "bounds.strictRevocation": "true",
        "bounds.revokeMs": "5000",
        "bounds.retryBudgetRatio": "0.2",
        "bounds.retryWindowS": "10",
        "bounds.budgetSlack": "122",
        "bounds.warmupOverrun": "1.5",
        "bounds.warmupTolerance": "5",
        "bounds.evacuationMs": "5000",
        "bounds.recoveryS": "15",
        "bounds.iterationMs": "200",
        "bounds.retryAfterS": "0",
        "bounds.stall_ms": "1500",
        "bounds.holdMaxMs": "20000",
        "bounds.lingerMs": "4000",
        "bounds.idleMaxMs": "9000",
        "platform.address": f"{HOST}:{store_port}",
        "platform.form": "read",
        "platform.writesPerS": "1200",
        "platform.readsPerS": "6000",
        "platform.retentionS": "20",
        "platform.valueBytes": "1048576",
        "platform.ttlMinMs": "1000",
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())
