"""A small deployment for the cases: gateways as processes, workers as processes, and stand-ins of
the platform's store, of links and of clients in this process. Everything is on loopback addresses.

The stand-ins follow PROTOCOL.md. The gateways are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
CONTACT_S = 3.0
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
ENGINES, DESK = "fulmar-pool", "comptoir"

BOUNDS = """limits.cpuQuota=0.19
limits.cores=1
limits.memoryMb=260
limits.maxFds=4200
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans
faultTolerance.machines=2
faultTolerance.zones=1
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.strictRevocation=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.budgetSlack=100
bounds.warmupOverrun=1.5
bounds.warmupTolerance=5
bounds.evacuationMs=5000
bounds.recoveryS=12
bounds.iterationMs=120
bounds.retryAfterS=0
bounds.stall_ms=1500
bounds.holdMaxMs=20000
bounds.lingerMs=4000
bounds.idleMaxMs=9000
platform.form=read
platform.readsPerS=2000
platform.retentionS=20
platform.valueBytes=1048576
"""


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def gateway_command():
    """Returns the command of the role in deploy/system.toml."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run"):
            return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise CannotRun("deploy/system.toml has no run line")


class Record:
    """The record of a case, one JSON object a line, with seconds since the case began."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def say(self, what, **fields):
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Store:
    """The platform's store: kv-key, kv-range and kv-watch, with 20 s of history."""

    RETENTION_S = 20
    ANSWER_S = 0.004

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.events = []
        self.forgotten = 0
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        await self.announce(item)

    async def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            await self.announce({"key": key, "revision": self.revision, "deleted": True})

    async def announce(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and now - self.events[0][0] > self.RETENTION_S:
            self.forgotten = self.events.pop(0)[1]["revision"]
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status, document = await self.answer(urlsplit(text.split(" ", 2)[1]))
                await asyncio.sleep(self.ANSWER_S)
                body = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, url):
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/fulmarhead/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if url.path == "/fulmarhead/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "at": self.revision}
        if url.path != "/fulmarhead/kv-watch":
            return 404, {}
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1e3
        if after < self.forgotten:
            return 410, {}
        while True:
            new = [event for _, event in self.events
                   if event["revision"] > after and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if new or left <= 0:
                return 200, {"events": new, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Link:
    """A link between a machine and an address. While it is cut, bytes of open connections are held
    up and new connections hang; they go on when the cut has healed."""

    def __init__(self, port):
        self.target, self.port = port, 0
        self.passes = asyncio.Event()
        self.passes.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self):
        """Cuts the link in the way that resets open connections and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self):
        """Heals the link after `refuse`."""
        await self.start()

    def cut(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        await self.passes.wait()
        try:
            there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except ConnectionError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, there_writer), self.pump(there_reader, writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Worker:
    """A worker process, with its entry in the store's list."""

    def __init__(self, fleet, name, service, zone, **options):
        self.fleet, self.service, self.zone = fleet, service, zone
        kind = "engine" if service == ENGINES else "application"
        self.options = {"kind": kind, **options}
        self.name, self.process, self.listed, self.starts = name, None, False, 0
        self.sequence, self.beats = 0, 0

    async def start(self):
        self.starts += 1
        # Each start is a new incarnation, with a new id at the same address.
        self.id = f"i-{self.name}-{self.starts}"
        options = json.dumps({**self.options, "id": self.id})
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "worker.py"), options, stdout=asyncio.subprocess.PIPE)
        self.fleet.processes.append(self.process)
        listens = json.loads(await asyncio.wait_for(self.process.stdout.readline(), 10))
        self.options["port"] = listens["port"]
        self.born = int(time.time() * 1e3)
        self.fleet.spawn(self.read(self.process))
        self.listed = True
        await self.beat()

    async def read(self, process):
        while line := await process.stdout.readline():
            line = json.loads(line)
            line.pop("worker")
            what = line.pop("what")
            self.fleet.record.say(f"worker {what}", worker=line.pop("id", self.id), **line)

    async def beat(self):
        """Writes the entry, as the worker does each heartbeat."""
        self.beats += 1
        self.last_beat = time.monotonic()
        await self.fleet.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.options['port']}",
            "zone": self.zone, "version": "v1", "batchSlots": 16, "state": "ready",
            "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born})

    async def leave(self):
        """Leaves without having reported `draining`: the entry goes, and the worker serves on.
        Returns the time at which the store accepted that."""
        self.listed = False
        self.process.send_signal(signal.SIGUSR1)
        await self.fleet.store.delete(f"servers/{self.id}")
        self.fleet.record.say("the store removed the entry", worker=self.id)
        return self.fleet.record.now()

    def end(self):
        self.process.kill()
        self.fleet.record.say("the worker ends", worker=self.id)

    async def keep_listed(self, phase):
        """Writes heartbeats while the worker lives; its entry lapses after three without one."""
        await asyncio.sleep(phase)
        while True:
            if self.listed and self.process.returncode is None:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def revive(self, down_s):
        """Starts the worker again some seconds after each crash."""
        while True:
            await self.process.wait()
            self.fleet.spawn(self.lapse(self.id, self.last_beat + 3 * HEARTBEAT_S))
            await asyncio.sleep(down_s)
            await self.start()

    async def lapse(self, gone, at):
        """Removes the entry of a worker that is silent for three heartbeats."""
        await asyncio.sleep(at - time.monotonic())
        await self.fleet.store.delete(f"servers/{gone}")


class Gateway:
    """A gateway process."""

    def __init__(self, fleet, name, zone, store_port):
        self.fleet, self.name, self.zone, self.store_port = fleet, name, zone, store_port
        self.frontend, self.ready, self.control = free_port(), free_port(), free_port()

    def write_settings(self, seeds, first):
        zones = sorted({gateway.zone for gateway in self.fleet.gateways})
        lines = [f"nodeName={self.name}", "role=gateway", "machineClass=edge", "serves=edge,control",
                 "ip=127.0.0.1", f"zone={self.zone}", "region=qc-est",
                 *(f"zones.{zone}=qc-est" for zone in zones),
                 f"listen.frontend=127.0.0.1:{self.frontend}", f"listen.ready=127.0.0.1:{self.ready}",
                 f"listen.controlPlane=127.0.0.1:{self.control}",
                 f"seeds={','.join(f'127.0.0.1:{port}' for port in seeds)}",
                 f"bootstrap={'true' if first else 'false'}",
                 f"platform.address=127.0.0.1:{self.store_port}"]
        self.file = self.fleet.folder / f"{self.name}.conf"
        self.file.write_text("\n".join(lines) + "\n" + BOUNDS)

    async def start(self, first=True):
        self.write_settings([gateway.control for gateway in self.fleet.gateways][:3], first)
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        command = gateway_command()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log,
            env={**env, "FULMARHEAD_NODE_FILE": str(self.file)})
        self.fleet.processes.append(self.process)
        self.started = self.fleet.record.now()
        self.fleet.record.say("gateway started", gateway=self.name)

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await http(self.ready, "GET", "/fulmarhead/readyz", {"Host": "ready"}, limit=1)
            if answer["status"] == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")


class Fleet:
    """All of it."""

    def __init__(self, record):
        self.record, self.gateways, self.workers, self.processes = record, [], [], []
        self.tasks, self.links = set(), {}
        self.folder = Path(tempfile.mkdtemp(prefix="fulmarhead-review-"))
        self.random = random.Random(1)

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, zones, workers, spread=True):
        """Starts a store, a gateway in each of `zones`, and `workers`. `spread` says whether the
        heartbeats of the workers are spread over their interval."""
        self.store = Store()
        await self.store.start()
        await self.store.put("op/config", config())
        self.workers = workers
        for worker in workers:
            await worker.start()
        for number, worker in enumerate(workers):
            self.spawn(worker.keep_listed(HEARTBEAT_S * number / len(workers) if spread else 0))
        for zone in zones:
            link = Link(self.store.port)
            await link.start()
            gateway = Gateway(self, f"edge-{zone}-1", zone, link.port)
            self.links[gateway.name] = link
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            await process.wait()
        # KEEP=1 leaves the settings and logs of the gateways for a look.
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ask(self, gateway, method, path, headers=None, body=b"", deadline_ms=10000):
        """Sends one client attempt and records what was sent and what the client got."""
        request = f"{self.random.getrandbits(64):016x}"
        headers = {"Host": HOST, "X-Fulmarhead-Attempt-Id": request,
                   "X-Fulmarhead-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {KEY}",
                   **(headers or {})}
        sent = self.record.now()
        self.record.say("client sends", request=request, gateway=gateway.name, path=path,
                        headers={k: v for k, v in headers.items() if k.startswith(("X-", "Last"))})
        answer = await http(gateway.frontend, method, path, headers, body, deadline_ms / 1e3)
        ids = [int(line[3:]) for line in answer["body"].decode("latin-1").split("\n")
               if line.startswith("id:")]
        self.record.say("client gets", request=request, gateway=gateway.name,
                        status=answer["status"], complete=answer["complete"], events=ids,
                        signed="x-fulmarhead-response-signature" in answer["headers"])
        return {**answer, "request": request, "sent": sent, "events": ids, "gateway": gateway}

    async def book(self, gateway, interval, length):
        """Sends a booking each `interval` for `length` seconds, without waiting for the answers."""
        end = self.record.now() + length
        while self.record.now() < end:
            self.spawn(self.ask(gateway, "POST", "/puxa403/2f", {}, b"x" * 600, 600))
            await asyncio.sleep(interval)


def judge_drain(fleet, worker, left, in_touch):
    """Returns whether no request reached `worker` later than `drainMs` after the store accepted at
    `left` that it leaves, taken and sent on by a machine that is in touch from `in_touch` on."""
    lines = fleet.record.lines
    sent = {line["request"]: line for line in lines if line["what"] == "client sends"}
    got = {line["request"]: line for line in lines if line["what"] == "client gets"}
    bound = max(left + DRAIN_S, in_touch)
    late = [line["request"] for line in lines
            if line["what"] == "worker runs" and line["worker"] == worker.id
            and line["t"] > bound and sent[line["request"]]["t"] > in_touch]
    lost = [request for request in late if got.get(request, {}).get("status") != 200]
    fleet.record.say("judged", left=round(left, 3), in_touch_from=round(in_touch, 3),
                     reached_the_worker_late=len(late), of_them_lost=len(lost),
                     after_s=[round(line["t"] - left, 3) for line in lines
                              if line["what"] == "worker runs" and line["request"] in late])
    return not late


def config():
    def route(name, prefix, kind, service, **more):
        return {"name": name, "hostname": HOST, "prefix": prefix, "routeType": kind, "priority": 1,
                "service": service, "anonymous": False, "sessionAffinity": kind == "streaming",
                "resumable": kind == "streaming", **more}
    engine = {"batchSlots": 16, "kvCapacity": 315000, "kvBytes": 163840, "stride": 51,
              "models": [{"name": "m"}], "step_ms": 0.85, "per_seq_ms": 0.00425,
              "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
              "report_lag_ms": 200.0, "hopMs": 0.05}
    return {
        "version": 7,
        "routes": [
            route("itineraire", "/lohu930/", "streaming", ENGINES, timeoutMs=10000,
                  targetLatencyMs=300, maxAttempts=2, targetGapMs=250),
            route("reservation", "/puxa403/", "non_idempotent", DESK, timeoutMs=600,
                  targetLatencyMs=100, maxAttempts=1),
            route("inventaire", "/cuti104/", "idempotent", DESK, timeoutMs=600,
                  targetLatencyMs=100, maxAttempts=2),
        ],
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConnections": 424, "protocol": "h1",
             "tls": False, "warmupS": 3.0, "warmupPerS": 36.0, "runtime": engine},
            {"name": DESK, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1",
             "tls": False, "warmupS": 0.0, "warmupPerS": 0.0},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


async def http(port, method, path, headers, body=b"", limit=10.0):
    """Sends one request on a connection of its own. `complete` says whether the answer is complete
    by its length or its last chunk."""
    result = {"status": None, "headers": {}, "body": b"", "complete": False}
    try:
        await asyncio.wait_for(exchange(result, port, method, path, headers, body), limit)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    return result


async def exchange(result, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        first, *rest = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        for line in rest:
            if ":" in line:
                name, value = line.split(":", 1)
                result["headers"][name.strip().lower()] = value.strip()
        result["status"] = int(first.split(" ")[1])
        if result["headers"].get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                data = await reader.readexactly(size + 2)
                result["body"] += data[:-2]
            await reader.readexactly(2)
        else:
            size = int(result["headers"].get("content-length", "0"))
            result["body"] = await reader.readexactly(size)
        result["complete"] = True
    finally:
        writer.close()


def run_case(case):
    """Runs `case(fleet, trouble)`, which returns whether the rule held, and exits with 0 if it did,
    1 if it was broken and 2 if the case could not run."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play():
        fleet = Fleet(record)
        record.say("case", trouble=trouble)
        try:
            return await asyncio.wait_for(case(fleet, trouble), 110)
        finally:
            await fleet.stop()

    # An end from outside also ends what was started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(play())
    except Exception as error:  # Any failure of the case itself says nothing about the rule.
        record.say("the case could not run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.say("result", held=held)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
