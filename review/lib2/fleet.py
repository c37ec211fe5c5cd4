"""A small deployment on loopback addresses: the project's own processes, and stand-ins for the platform and its servers.

Every machine has an address of its own in 127.0.0.0/8. The processes are started with the command of
deploy/system.toml, and their settings have the fields of DEPLOY.md. Nothing outside the temporary folder is written
but the record.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of a small deployment (SYSTEM.md, second customer).
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "skew_max_ms": 5000, "revoke_closed": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 60,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 72000, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 8.3, "ttl_max_s": 5,
}
ZONES = ["tn-a", "tn-b", "rov-c"]


class Broken(Exception):
    """The rule was broken."""


class Impossible(Exception):
    """The case could not run."""


class Record:
    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


class Machine:
    """A machine: its address, its folder, and the process that runs on it."""

    def __init__(self, fleet, name, ip, zone, has_disk):
        self.fleet, self.name, self.ip, self.zone, self.has_disk = fleet, name, ip, zone, has_disk
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.process = None

    def address(self, what):
        return f"{self.ip}:{self.fleet.ports[what]}"

    def write_settings(self, bootstrap):
        fleet = self.fleet
        first, last = fleet.ports["internal"], fleet.ports["internal"] + 15
        settings = {
            "node_name": self.name, "role": "gateway", "machine_class": "front",
            "serves": ["front", "control", "directory"], "ip": self.ip, "zone": self.zone,
            "region": "trentino", "internal_ports": [first, last],
            "seeds": [machine.address("control") for machine in fleet.seeds],
            "bootstrap": bootstrap, "loss_counts": self.has_disk, "discovery": "cloud_api",
            "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"],
            "config_mode": "highest", "zones": {zone: "trentino" for zone in ZONES},
            "listen": {what: self.address(what) for what in ("front", "ready", "control", "directory")},
            "limits": {"cpu_share": 0.45, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "cloud": {"address": fleet.cloud_address, "rate_per_s": 42.0, "duties": [], "max_lag_ms": 800},
        }
        if self.has_disk:
            settings["data_dir"] = str(self.folder / "data")
        (self.folder / "settings.json").write_text(json.dumps(settings), encoding="utf-8")

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        command = self.fleet.command.replace("{{ip}}", self.ip)
        command = command.replace("{{internal_ports.1}}", str(self.fleet.ports["internal"] + 15))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CURLEWLIFT_CONFIG"] = str(self.folder / "settings.json")
        log = open(self.folder / "log.txt", "a", encoding="utf-8")
        self.process = subprocess.Popen(command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.fleet.record.note(f"start {self.name} ({self.ip}), bootstrap {bootstrap}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.fleet.record.note(f"kill {self.name}")

    def signal(self, which):
        self.process.send_signal(which)
        self.fleet.record.note(f"signal {signal.Signals(which).name} to {self.name}")

    def lose_disk(self):
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.fleet.record.note(f"the disk of {self.name} is lost")

    def log_text(self):
        path = self.folder / "log.txt"
        return path.read_text(encoding="utf-8") if path.exists() else ""


class Fleet:
    def __init__(self, case_folder, core=3, others=2):
        self.record = Record(pathlib.Path(case_folder))
        program = ROOT / "target" / "release" / "curlewlift"
        if not program.exists():
            raise Impossible("the program is not built")
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))["roles"]["gateway"]
        self.command = role["run"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        # A network of its own among the loopback addresses, so that two runs at a time don't meet.
        self.net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        base = random.randrange(12000, 28000, 32)
        self.ports = {"internal": base, "front": base + 20, "ready": base + 21, "control": base + 22, "directory": base + 23}
        self.servers = []
        self.machines = []
        self.seeds = []
        self.closing = []
        self.cloud = Cloud(self, (f"{self.net}.250", base + 24))
        self.cloud_address = f"{self.net}.250:{base + 24}"
        for index in range(core):
            self.add(f"core-{index + 1}", True, ZONES[index % 3])
        self.seeds = self.machines[:3]
        for index in range(others):
            self.add(f"front-{index + 1}", False, ZONES[index % 3])

    def add(self, name, has_disk, zone):
        machine = Machine(self, name, f"{self.net}.{10 + len(self.machines)}", zone, has_disk)
        self.machines.append(machine)
        return machine

    def close(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()
        for server in self.closing:
            server.shutdown()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, timeout=1.0, headers=None, source=None):
    """One HTTP request; returns status, headers and body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout, source_address=source)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


class Operator:
    """Sends configurations as the pages say: to any node, again to another one while there is no clear answer."""

    def __init__(self, fleet):
        self.fleet = fleet

    def put(self, configuration, within, machines=None):
        """Sends a configuration until it is acknowledged; returns how long that took, or none."""
        begun = time.monotonic()
        body = json.dumps(configuration)
        pause = 0.1
        answers = {}
        while time.monotonic() - begun < within:
            for machine in random.sample(machines or self.fleet.machines, len(machines or self.fleet.machines)):
                if machine.process is None or machine.process.poll() is not None:
                    continue
                try:
                    status, _, text = call(machine.address("control"), "POST", "/api/config/put", body)
                except OSError as error:
                    status, text = type(error).__name__, b""
                answers[status] = answers.get(status, 0) + 1
                if status == 200:
                    took = time.monotonic() - begun
                    self.fleet.record.note(f"version {configuration['version']} acknowledged by {machine.name} after {took:.2f} s")
                    return took
                if status in (400, 409, 412, 413, 422):
                    raise Impossible(f"the configuration is refused: {status} {text!r}")
                if time.monotonic() - begun >= within:
                    break
                time.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        self.fleet.record.note(f"version {configuration['version']} not acknowledged within {within} s; answers: {answers}; last: {text!r}")
        return None


class Cloud:
    """The platform's list of servers."""

    def __init__(self, fleet, address):
        outer = self
        self.entries = []
        self.calls = 0

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                outer.calls += 1
                body = json.dumps({"instances": outer.entries, "next_token": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        server = Threads(address, Handler)
        fleet.closing.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()


class Threads(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        """A connection that its other end resets is no error of the stand-in."""


class PlainServer:
    """A plain server of the platform: answers 200 with its receipt, after `work` seconds."""

    def __init__(self, fleet, number, service, work=0.02):
        self.id = f"i-{random.randrange(1 << 40):010x}"
        self.service = service
        self.ip = f"{fleet.net}.{100 + number}"
        self.port = 8308
        self.ran = []
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                attempt = self.headers.get("X-Attempt-Id")
                if self.headers.get("X-Expect-Instance", outer.id) != outer.id:
                    return self.reply(421, b"", attempt, not_run=True)
                outer.ran.append(attempt)
                fleet.record.note(f"{outer.id} runs {attempt}")
                time.sleep(work)
                self.reply(200, f"{outer.id} {attempt}\n".encode(), attempt)

            do_GET = do_POST = answer

            def reply(self, status, body, attempt, not_run=False):
                self.send_response(status)
                if attempt:
                    self.send_header("X-Attempt-Id", attempt)
                if not_run:
                    self.send_header("X-Not-Executed", "1")
                else:
                    self.send_header("X-Response-Signature", f"{outer.id}.{attempt}")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        server = Threads((self.ip, self.port), Handler)
        fleet.closing.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        fleet.cloud.entries.append({
            "id": self.id, "service": service, "address": f"{self.ip}:{self.port}", "zone": ZONES[number % 3],
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
        })


def configuration(version, routes=(("/book/", "safe"),), service="chan-api", **fields):
    """A configuration with plain routes to one service."""
    return {
        "version": version,
        "routes": [
            {"name": f"r{index}", "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1200,
             "target_latency_ms": 150, "priority": 2, "service": service, "max_attempts": 2, "public": False,
             "sticky": False, "resumable": False}
            for index, (prefix, kind) in enumerate(routes)
        ],
        "services": [{"name": service, "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "alto", "api_keys": ["k-alto-1"], "priority": 1, "unit": "tokens", "plain_tokens": 200,
                     "rate_per_s": 100000, "burst": 100000}],
        **fields,
    }


def request(machine, path="/book/1", method="GET", timeout=2.5, key="k-alto-1", body=None):
    """One request of a client; returns its id, the status and the body."""
    attempt = f"{random.randrange(1 << 60):016x}"
    headers = {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(timeout * 1000)),
               "Authorization": f"Bearer {key}"}
    machine.fleet.record.note(f"request {attempt} {method} {path} to {machine.name}")
    try:
        status, headers, text = call(machine.address("front"), method, path, body, timeout, headers)
    except OSError as error:
        status, text = type(error).__name__, b""
    machine.fleet.record.note(f"answer to {attempt}: {status}")
    return attempt, status, text


def run(case_folder, play, **shape):
    """Plays a case, and ends with the exit code of the issue."""
    fleet = None

    def stop(*_):
        raise Impossible("the time is over")

    signal.signal(signal.SIGTERM, stop)
    try:
        fleet = Fleet(case_folder, **shape)
        play(fleet)
        fleet.record.note("the rule held")
        code = 0
    except Broken as broken:
        fleet.record.note(f"BROKEN: {broken}")
        code = 1
    except (Impossible, OSError) as error:
        if fleet:
            fleet.record.note(f"could not run: {error}")
        print(error, file=sys.stderr)
        code = 2
    finally:
        if fleet:
            fleet.close()
    sys.exit(code)
