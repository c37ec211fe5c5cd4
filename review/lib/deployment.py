"""A small deployment on loopback addresses: the project's own processes, and stand-ins for the
platform, the engines, the operator and the clients. Standard library only."""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "curlewlift")
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
MODEL_SERVICE = "lm-pool"
PLAIN_SERVICE = "quote-api"
# The bounds of the site kursora-waw, as the pages print them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "skew_max_ms": 5000, "revoke_closed": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 64,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 72000, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 6.8, "ttl_max_s": 5,
}


class Site:
    """What the settings of a site's processes have in common."""

    def __init__(self, region="waw", zones=("waw-a", "waw-b", "waw-c"), bounds=None,
                 more_contracts=(), tolerates=None):
        self.region = region
        self.zones = zones
        self.bounds = BOUNDS if bounds is None else bounds
        self.contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "quota", *more_contracts]
        self.tolerates = tolerates or {"machines": 1, "zones": 0, "regions": 0}


KURSORA = Site()

class CannotRun(Exception):
    """The case could not be played; it says nothing of the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def route(name, kind, service, timeout_ms, **more):
    fields = {
        "name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 600, "priority": 1, "service": service,
        "max_attempts": 1, "public": False, "sticky": service == MODEL_SERVICE,
        "resumable": False,
    }
    if kind == "streaming":
        fields["gap_target_ms"] = 400
    fields.update(more)
    return fields


def configuration(version, **more):
    """A configuration like the example of the pages."""
    document = {
        "version": version,
        "routes": [
            route("commentary", "streaming", MODEL_SERVICE, 15000),
            route("digest", "streaming", MODEL_SERVICE, 15000, resumable=True, max_attempts=2),
            route("quote", "unsafe", PLAIN_SERVICE, 2500),
            route("alert", "safe", PLAIN_SERVICE, 2500, max_attempts=2),
        ],
        "services": [
            {"name": MODEL_SERVICE, "health_path": "/health", "max_conns": 650, "protocol": "h1",
             "tls": False, "engine": {
                 "slots": 7, "kv_capacity": 185027, "kv_token_bytes": 131072,
                 "link_mbps": 550000.0, "moves": True, "backups": True, "stride": 3, "most": 12,
                 "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                 "models": [{"name": "m"}]}},
            {"name": PLAIN_SERVICE, "health_path": "/health", "max_conns": 130,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 103072, "burst": 103072}],
    }
    document.update(more)
    return document


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; none at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as why:
        if why.partial:
            raise ConnectionError("the head broke off") from why
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """The chunks of a chunked body; raises if it breaks off."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Engine:
    """A sound engine: runs each request as `play` says, by its attempt id or by its path.

    A play is a coroutine function that takes (engine, request) and writes the answer. What has
    run is noted in `runs` as (time, attempt id, how it ended)."""

    def __init__(self, deployment, name, service, zone, address, slots, speed=0.03):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.speed = speed
        self.state = "ready"
        self.runs = []
        self.active = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def entry(self):
        entry = {
            "id": self.name, "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
        }
        if self.service == MODEL_SERVICE:
            entry["stage"] = "both"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                request = Request(line, headers, body, reader, writer)
                if not await self.answer(request):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        if request.path.startswith("/api/report"):
            await request.whole(200, json.dumps({
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "call_seq": 0, "queued": 0, "active": self.active, "kv_used": 0,
                "kv_total": 185027, "handles": 0}).encode(), self)
            return True
        if request.path == "/health":
            await request.whole(200, b"", self)
            return True
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            await request.reject(421, self)
            return True
        if request.id is None:
            await request.reject(400, self)
            return True
        if self.active >= self.slots + 20:
            await request.reject(503, self)
            return True
        self.active += 1
        run = [self.deployment.record.now(), request.id, "running"]
        self.runs.append(run)
        self.deployment.record.note(
            f"engine {self.name} runs {request.id} {request.line}")
        try:
            run[2] = await self.deployment.play(self, request)
        except (ConnectionError, OSError):
            run[2] = "caller left"
        finally:
            self.active -= 1
            self.deployment.record.note(f"engine {self.name} ends {request.id}: {run[2]}")
        return run[2] == "whole"


class Request:
    """A request at an engine."""

    def __init__(self, line, headers, body, reader, writer):
        self.line = line
        self.method, self.path, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer
        self.id = headers.get("x-attempt-id")

    def head(self, status, engine, *more):
        reason = {200: "OK", 421: "Misdirected Request", 500: "Internal Server Error",
                  503: "Service Unavailable", 400: "Bad Request"}[status]
        lines = [f"HTTP/1.1 {status} {reason}", f"X-Instance-Id: {engine.name}",
                 f"X-Server-Load: {engine.active},0,{engine.slots}"]
        if self.id is not None:
            lines.append(f"X-Attempt-Id: {self.id}")
        if engine.service == MODEL_SERVICE:
            lines.append("X-Weight-Versions: 1")
        lines.extend(more)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def whole(self, status, body, engine):
        self.writer.write(self.head(
            status, engine, f"X-Response-Signature: {engine.name}.{self.id}",
            f"Content-Length: {len(body)}") + body)
        await self.writer.drain()
        return "whole"

    async def reject(self, status, engine):
        self.writer.write(self.head(status, engine, "X-Not-Executed: 1", "Content-Length: 0"))
        await self.writer.drain()

    async def stream(self, engine, events, pause, first=0):
        """A stream of events with rising ids, in chunks."""
        self.writer.write(self.head(
            200, engine, f"X-Response-Signature: {engine.name}.{self.id}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
        for number in range(first, events):
            event = f"id: {number + 1}\ndata: {self.id} {number + 1}/{events}\n\n".encode()
            self.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await self.writer.drain()
            await asyncio.sleep(pause)
            if self.reader.at_eof():
                raise ConnectionError("the caller has left")
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()
        return "whole"


class Machine:
    """One machine: a process of the project, started as the deploy file says."""

    def __init__(self, deployment, number, zone, has_disk):
        self.deployment = deployment
        self.number = number
        self.zone = zone
        self.has_disk = has_disk
        self.ip = f"127.0.{deployment.net}.{number + 1}"
        self.folder = os.path.join(deployment.folder, f"m{number}")
        self.process = None
        self.log = None
        os.makedirs(self.folder)

    @property
    def data(self):
        return os.path.join(self.folder, "data")

    def address(self, what):
        return (self.ip, self.deployment.ports[what])

    def write_settings(self, bootstrap):
        ports = self.deployment.ports
        site = self.deployment.site
        listen = {what: f"{self.ip}:{ports[what]}"
                  for what in ("front", "ready", "control", "directory")}
        settings = {
            "node_name": f"front-{self.zone}-{self.number}", "role": "gateway",
            "machine_class": "front", "serves": ["front", "control", "directory"],
            "ip": self.ip, "zone": self.zone, "region": site.region,
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": self.deployment.seeds(), "bootstrap": bootstrap,
            "loss_counts": self.has_disk, "discovery": "cloud_api", "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": site.contracts, "config_mode": "highest",
            "zones": {zone: site.region for zone in site.zones}, "listen": listen,
            "limits": {"cpu_share": 0.45, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 64},
            "fault_tolerance": site.tolerates, "bounds": site.bounds,
            "cloud": {"address": "%s:%d" % self.deployment.cloud, "rate_per_s": 47.0,
                      "duties": [], "max_lag_ms": 800},
        }
        if self.has_disk:
            settings["data_dir"] = self.data
        path = os.path.join(self.folder, "settings.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.rename(path + ".new", path)
        return path

    def start(self, bootstrap=False):
        path = self.write_settings(bootstrap)
        if self.has_disk:
            os.makedirs(self.data, exist_ok=True)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CURLEWLIFT_CONFIG"] = path
        metrics = f"{self.ip}:{self.deployment.ports['internal'] + 15}"
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--log", "info", "--log-format", "json", "--metrics", metrics, "platform",
             "--scheduling", "in-flight,fair-shares,placement"],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, start_new_session=True)
        self.deployment.record.note(f"machine {self.number} starts (bootstrap {bootstrap})")

    def signal(self, what):
        self.deployment.record.note(f"machine {self.number} gets {what.name}")
        self.process.send_signal(what)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def ended(self, within):
        until = time.monotonic() + within
        while self.is_running():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.005)
        self.deployment.record.note(f"machine {self.number} has ended: {self.process.returncode}")
        return True

    async def kill(self):
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)

    def lose_disk(self):
        self.deployment.record.note(f"machine {self.number} loses its disk")
        shutil.rmtree(self.data)

    def events(self):
        """The process's log lines so far."""
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            for line in file:
                start = line.find("{")
                if start >= 0:
                    try:
                        yield json.loads(line[start:])
                    except ValueError:
                        pass


class Deployment:
    def __init__(self, record_path, disks=3, others=0, models=3, plain=2, site=KURSORA):
        self.site = site
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="curlewlift-review-")
        self.net = random.randint(1, 250)
        self.ports = free_ports(self.net)
        self.cloud = (f"127.0.{self.net}.200", self.ports["cloud"])
        zones = itertools.cycle(site.zones)
        self.machines = []
        for number in range(disks + others):
            self.machines.append(Machine(self, number, next(zones), number < disks))
        self.seed_machines = self.machines[:3]
        self.engines = []
        zones = itertools.cycle(site.zones)
        for number in range(models + plain):
            service = MODEL_SERVICE if number < models else PLAIN_SERVICE
            self.add_engine(f"i-{number:04x}", service, next(zones), number)
        self.plays = {}
        self.cloud_open = True
        self.ids = itertools.count(1)

    def add_engine(self, name, service, zone, number):
        address = (f"127.0.{self.net}.{201 + number}", self.ports["engine"])
        slots = 7 if service == MODEL_SERVICE else 6
        engine = Engine(self, name, service, zone, address, slots)
        self.engines.append(engine)
        return engine

    def seeds(self):
        return ["%s:%d" % machine.address("control") for machine in self.seed_machines]

    async def start(self):
        for engine in self.engines:
            await engine.start()
        await asyncio.start_server(self.serve_cloud, *self.cloud)
        for machine in self.machines:
            machine.start(bootstrap=True)

    async def stop(self):
        for machine in self.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def serve_cloud(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None or not self.cloud_open:
                    break
                entries = [engine.entry() for engine in self.engines if engine.state != "gone"]
                body = json.dumps({"instances": entries, "next_token": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def play(self, engine, request):
        """What an engine does with a request: by its id, or else an answer after a short time."""
        play = self.plays.get(request.id)
        if play is not None:
            return await play(engine, request)
        if engine.service == MODEL_SERVICE:
            return await request.stream(engine, 10, 0.02)
        await asyncio.sleep(engine.speed)
        return await request.whole(200, f"{request.id} by {engine.name}".encode(), engine)

    def new_id(self):
        return f"{next(self.ids):016x}"

    async def put(self, document, machines=None, within=15.0):
        """Sends a configuration like an operator, until a node takes it."""
        until = time.monotonic() + within
        body = json.dumps(document).encode()
        while time.monotonic() < until:
            machine = random.choice(machines or self.machines)
            status, _ = await self.operate(machine, "POST", "/api/config/put", body)
            self.record.note(
                f"operator: put {document['version']} at machine {machine.number}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def get(self, machine):
        """A read of the configuration at a machine: the status, and the version."""
        status, body = await self.operate(machine, "GET", "/api/config/get", b"")
        version = json.loads(body)["version"] if status == 200 else None
        self.record.note(
            f"operator: get at machine {machine.number}: {status}, version {version}")
        return status, version

    async def operate(self, machine, method, path, body, within=4.0):
        answer = await call(machine.address("control"), method, path, body, within,
                            "Content-Type: application/json")
        return answer.status, answer.body

    async def resolve(self, machine, zone, within=1.0):
        """The addresses and the time to live that a directory names; none without an answer."""
        path = f"/api/resolve?name={HOST}&region={self.site.region}&zone={zone}"
        answer = await call(machine.address("directory"), "GET", path, b"", within)
        if answer.status != 200:
            return None
        body = json.loads(answer.body)
        return body["addresses"], body["ttl_s"]

    async def is_ready(self, machine):
        answer = await call(machine.address("ready"), "GET", "/api/readiness", b"", 0.5)
        return answer.status == 200

    async def wait_until_ready(self, machines=None, within=20.0):
        until = time.monotonic() + within
        for machine in machines or self.machines:
            while not await self.is_ready(machine):
                if time.monotonic() > until:
                    raise CannotRun(f"machine {machine.number} is not ready")
                await asyncio.sleep(0.05)

    async def begin(self):
        await self.start()
        if not await self.put(configuration(1)):
            raise CannotRun("no node took the first configuration")
        await self.wait_until_ready()

    async def leader(self):
        """The machine whose control replica leads, by the log lines of the processes."""
        counts = {}
        for machine in self.machines:
            for event in machine.events():
                if event.get("name") in ("hub-found",) and event.get("leader"):
                    counts.setdefault(machine.number, None)
                    counts[machine.number] = event["leader"]
        named = [leader for leader in counts.values() if leader]
        if not named:
            return None
        ip = max(set(named), key=named.count)
        return next(machine for machine in self.machines if machine.ip == ip)

    async def send(self, address, path, attempt=None, method="POST", body=b"question",
                   deadline_ms=8000, tokens="200,100", headers=(), connection=None, within=None):
        """Sends a client's request and reads the answer."""
        attempt = attempt or self.new_id()
        lines = [f"Host: {HOST}", f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
                 f"Authorization: Bearer {KEY}", "X-Model: m", f"X-Token-Counts: {tokens}"]
        lines.extend(headers)
        self.record.note(f"client sends {attempt} {method} {path} to {address[0]}")
        answer = await call(address, method, path, body, within or deadline_ms / 1000 + 1.0,
                            *lines, connection=connection)
        answer.id = attempt
        self.record.note(f"client has {attempt}: {answer}")
        return answer

    def runs(self, attempt):
        return [(engine.name, run) for engine in self.engines for run in engine.runs
                if run[1] == attempt]


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.why = ""
        self.id = None

    def __str__(self):
        text = f"{self.status}, {'whole' if self.whole else 'cut'}, {len(self.body)} bytes"
        return text + (f" ({self.why})" if self.why else "")


async def call(address, method, path, body, within, *lines, connection=None):
    """One HTTP request; the answer has no status if no head came."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(within):
            if connection is None:
                reader, writer = await asyncio.open_connection(*address)
            else:
                reader, writer = connection
            head = [f"{method} {path} HTTP/1.1", *lines]
            if not any(line.lower().startswith("host:") for line in lines):
                head.append(f"Host: {address[0]}")
            if body or method == "POST":
                head.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first = await read_head(reader)
            if first is None:
                answer.why = "closed without an answer"
                return answer
            line, answer.headers = first
            answer.status = int(line.split()[1])
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                async for chunk in read_chunks(reader):
                    answer.body += chunk
            else:
                left = int(answer.headers.get("content-length", "0"))
                while left > 0:
                    data = await reader.read(left)
                    if not data:
                        raise ConnectionError("the body broke off")
                    answer.body += data
                    left -= len(data)
            answer.whole = True
    except TimeoutError:
        answer.why = "no complete answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as why:
        answer.why = f"{type(why).__name__}: {why}"
    finally:
        if writer is not None and connection is None:
            writer.close()
    return answer


def free_ports(net):
    """Ports that are free on all addresses of the deployment; the same on all machines."""
    for _ in range(100):
        base = random.randint(10000, 30000)
        offsets = {"directory": 20, "front": 21, "ready": 24, "control": 29, "cloud": 40,
                   "engine": 41, "internal": 0}
        try:
            for offset, last in itertools.product(range(42), (1, 200, 201)):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.0.{net}.{last}", base + offset))
            return {what: base + offset for what, offset in offsets.items()}
        except OSError:
            continue
    raise CannotRun("no free ports")


def main(record_path, case, **shape):
    """Plays `case`: exits with 1 if it returns that the rule was broken, 0 if it held, and 2 if it
    could not be played."""

    async def play():
        # What is cut off when the play ends is no error.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        deployment = Deployment(record_path, **shape)
        try:
            async with asyncio.timeout(110):
                await deployment.begin()
                return await case(deployment, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(play())
    except (CannotRun, TimeoutError) as why:
        print(f"the case could not be played: {why}")
        return 2
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
