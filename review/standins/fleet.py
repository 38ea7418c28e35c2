"""A small deployment on loopback: the platform's store and balancer in this process, runners and instances as processes.

Follows the users' pages: PROTOCOL.md for what is spoken, DEPLOY.md for the settings of an instance.
"""

import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

TOP = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = TOP / "target" / "release" / "slipturn-instance"
RUNNER = pathlib.Path(__file__).resolve().parent / "runner.py"
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODELS, PLAIN = "aprendiz-llm", "registro-app"


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


class Store:
    """The platform's store: reads, ranges and watches of keys, as PROTOCOL.md tells them, with 20 s of history."""

    HISTORY_S, PAGE_ITEMS, PAGE_BYTES, VALUE_BYTES = 20.0, 500, 1_000_000, 1_048_576

    def __init__(self, address):
        self.lock = threading.Condition()
        self.items, self.history, self.revision, self.forgotten = {}, [], 100, 0
        self.listener = socket.create_server(address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        assert len(value) <= self.VALUE_BYTES and len(key) <= 200
        text = base64.b64encode(value).decode()
        with self.lock:
            made = self.items.get(key, {}).get("made", self.revision + 1)
            self.items[key] = {"private_key": key, "value": text, "revision": self.revision + 1, "made": made,
                               "lease": 0}
            self._add(self.items[key])

    def delete(self, key):
        with self.lock:
            self.items.pop(key, None)
            self._add({"private_key": key, "revision": self.revision + 1, "gone": True})

    def _add(self, change):
        self.revision += 1
        self.history.append((time.monotonic(), change))
        self.lock.notify_all()

    def _forget(self):
        """Forgets changes that are older than the history; watches from before them are answered 410."""
        while self.history and time.monotonic() - self.history[0][0] > self.HISTORY_S:
            self.forgotten = self.history.pop(0)[1]["revision"]

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = connection.recv(65536)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                parts = head.split(b"\r\n")[0].split(b" ")
                status, body = self._answer(parts[1].decode()) if len(parts) == 3 else (400, {})
                text = json.dumps(body).encode()
                connection.sendall(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
        except OSError:
            pass
        finally:
            connection.close()

    def _answer(self, target):
        path, _, query = target.partition("?")
        fields = {name: urllib.parse.unquote(value)
                  for name, _, value in (part.partition("=") for part in query.split("&") if part)}
        with self.lock:
            if path == "/-/kv-key":
                item = self.items.get(fields.get("private_key"))
                return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
            if path == "/-/kv-range":
                prefix, after = fields.get("path_prefix", ""), fields.get("after_revision", "")
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                page, size = [], 0
                for key in keys:
                    size += len(self.items[key]["value"])
                    if page and (size > self.PAGE_BYTES or len(page) == self.PAGE_ITEMS):
                        break
                    page.append(self.items[key])
                return 200, {"items": page, "more": len(page) < len(keys), "at": self.revision}
            if path == "/-/kv-watch":
                prefix, after = fields.get("path_prefix", ""), int(fields.get("after_revision", "0"))
                until = time.monotonic() + min(int(fields.get("wait_ms", "0")), 30000) / 1000
                while True:
                    self._forget()
                    if after < self.forgotten:
                        return 410, {"at": self.revision}
                    events = [item for _, item in self.history
                              if item["revision"] > after and item["private_key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "at": self.revision}
                    self.lock.wait(left)
        return 404, {}


class Runner:
    """A runner in a process of its own; its entry in the store is written on its behalf."""

    def __init__(self, fleet, number, name, service, zone, arguments=()):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.address = (fleet.host(100 + number), fleet.port)
        self.log = fleet.folder / f"{name}.runs"
        self.arguments = list(arguments)
        self.process = None
        self.start()

    def start(self):
        command = [sys.executable, str(RUNNER), self.address[0], str(self.address[1]), self.name, str(self.log)]
        self.process = self.fleet.spawn(command + self.arguments, self.fleet.folder / f"{self.name}.err")

    def publish(self, state="ready"):
        entry = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                 "version": "v1", "slots": 16, "state": state, "cold_remaining_ms": 0, "stage": "both",
                 "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 4}
        self.fleet.store.put(f"servers/{self.name}", entry)

    def runs(self):
        """What the runner has noted: (time on the steady clock, event, request id, text)."""
        if not self.log.exists():
            return []
        rows = [line.split(" ", 3) for line in self.log.read_text().splitlines() if line.count(" ") >= 3]
        return [(float(row[0]), row[1], row[2], row[3]) for row in rows if row[1] != "listens"]


class Instance:
    """An instance, started with the command and the settings of the deploy file."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.host = fleet.host(1 + number)
        self.front = (self.host, fleet.port)
        self.ready_address = (self.host, fleet.port + 1)
        self.process = None

    def settings(self):
        fleet, host, port = self.fleet, self.host, self.fleet.port
        seeds = json.dumps([f"{fleet.host(1 + number)}:{port + 2}" for number in range(min(3, fleet.count))])
        return (
            f'name: "front-{self.zone}-{self.number}"\ndata_center: "{self.zone}"\nlisten:\n'
            f'  callers: "{host}:{port}"\n  health: "{host}:{port + 1}"\n  members: "{host}:{port + 2}"\n'
            f'member_address: "{host}:{port + 3}"\noperator_address: "{host}:{port + 4}"\nseeds: {seeds}\n'
            f'store: "{fleet.store_address[0]}:{fleet.store_address[1]}"\ncpu_share: 0.25\n'
            "upstream_heartbeat: 1200ms\nmachine:\n  memory: 260MB\n  descriptors: 4100\nbounds:\n"
            "  leave: 2000ms\n  grace: 8s\n  retry_ratio: 0.2\n  retry_extra: 106\n  retry_window: 10s\n"
            "  memory_idle: 9000ms\nsharing:\n  returns: scheduled_shorts\n  speeds: weighted_choice\n"
            "  start: by_contact\n  planner_start: shorts_first\n  planner_silence: contact\n  passes: confirmed\n"
            "  forecast: reserve_slots\n  attempts: observed\n  late_admission: as_booked\n"
        )

    def start(self):
        file = self.fleet.folder / f"instance-{self.number}.yaml"
        file.write_text(self.settings())
        log = self.fleet.folder / f"instance-{self.number}.log"
        self.process = self.fleet.spawn([str(PROGRAM)], log, {"SLIPTURN_BOOT": str(file)})

    def is_ready(self):
        try:
            answer = exchange(self.ready_address, b"GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n", 1.0)
            return answer.status == 200
        except OSError:
            return False

    def log_text(self):
        return (self.fleet.folder / f"instance-{self.number}.log").read_text(errors="replace")


class Fleet:
    """Store, instances and runners; ends all that it has started."""

    def __init__(self, zones, record):
        if not PROGRAM.exists():
            raise CannotRun(f"no {PROGRAM.name}: run the build of the deploy file first")
        self.record, self.processes = record, []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="slipturn-review-"))
        self.count = len(zones)
        self._choose_network()
        self.store_address = (self.host(250), self.port)
        self.store = Store(self.store_address)
        self.instances = [Instance(self, number, zone) for number, zone in enumerate(zones)]
        self.runners = []

    def _choose_network(self):
        for _ in range(50):
            self.network, self.port = (random.randint(20, 250), random.randint(1, 250)), random.randint(20000, 29000)
            try:
                for host in (1, 250):
                    for port in range(self.port, self.port + 5):
                        socket.create_server((self.host(host), port)).close()
                return
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def host(self, number):
        return f"127.{self.network[0]}.{self.network[1]}.{number}"

    def spawn(self, command, log, variables=None):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment.update(variables or {})
        with open(log, "ab") as output:
            process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                                       env=environment, cwd=TOP)
        self.processes.append(process)
        return process

    def add_runner(self, name, service, zone, *arguments):
        runner = Runner(self, len(self.runners), name, service, zone, arguments)
        self.runners.append(runner)
        return runner

    def publish_config(self, version, routes, services=None):
        engine = {"slots": 16, "kv_cache_tokens": 405000, "stride": 4, "step_ms": 1.3, "per_seq_ms": 0.05,
                  "context_per_k": 0.004, "chunk": 2048, "read_per_s": 154000, "pairs_per_m": 0.5,
                  "report_lag_ms": 200, "usual": {"prompt": 5000, "answer": 1000}}
        services = services or [
            {"name": MODELS, "health_check_path": "/health", "connection_limit": 374, "engine": engine},
            {"name": PLAIN, "health_check_path": "/health", "connection_limit": 110},
        ]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 10000}
        tenants = [{"name": TENANT, "api_keys": [KEY]}]
        self.store.put("op/config", {"version": version, "routes": routes, "services": services, "limits": limits,
                                     "tenants": tenants})

    def start(self):
        self.wait_until(lambda: all(runner.log.exists() for runner in self.runners), 10, "the runners listen")
        for runner in self.runners:
            runner.publish()
        for instance in self.instances:
            instance.start()
        self.wait_until(lambda: all(instance.is_ready() for instance in self.instances), 15, "all instances ready")

    def wait_until(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {seconds} s: {what}")
            time.sleep(0.02)

    def signal(self, process, number):
        self.record.note(f"signal {signal.Signals(number).name} to process {process.pid}")
        process.send_signal(number)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if not os.environ.get("KEEP"):
            for file in self.folder.iterdir():
                file.unlink()
            self.folder.rmdir()


class Balancer:
    """Chooses the instance for a new connection of a client, as PROTOCOL.md tells it under "Ingress"."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {instance.number: 0 for instance in fleet.instances}
        self.lock = threading.Lock()
        self.closed = False
        self.threads = [threading.Thread(target=self._check, args=(instance,), daemon=True)
                        for instance in fleet.instances]
        for thread in self.threads:
            thread.start()

    def _check(self, instance):
        time.sleep(random.random())
        while not self.closed:
            begun = time.monotonic()
            ready = instance.is_ready()
            with self.lock:
                before = self.misses[instance.number]
                self.misses[instance.number] = 0 if ready else before + 1
                after = self.misses[instance.number]
            if before < 2 <= after or after == 0 and before >= 2:
                state = "out" if after else "in"
                self.fleet.record.note(f"balancer: {instance.front[0]} is {state}")
            time.sleep(max(0.0, 1.0 - (time.monotonic() - begun)))

    def choose(self, zone):
        with self.lock:
            is_in = {number: misses < 2 for number, misses in self.misses.items()}
        own = [instance for instance in self.fleet.instances if instance.zone == zone]
        own_in = [instance for instance in own if is_in[instance.number]]
        if own_in:
            return random.choice(own if len(own_in) * 2 < len(own) else own_in)
        others = [instance for instance in self.fleet.instances if is_in[instance.number]]
        return random.choice(others or own)


class Answer:
    """What a client has received: the status, the headers, the body, and whether the body is whole."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.error = None, {}, b"", False, ""
        self.sent_at = self.ended_at = None


def exchange(address, message, timeout, on_sent=None):
    """Sends one request over a new connection, and reads the answer to its end."""
    answer = Answer()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(min(timeout, 1.0))
        connection.connect(address)
        connection.sendall(message)
        answer.sent_at = time.monotonic()
        if on_sent:
            on_sent()
        read_answer(connection, answer, answer.sent_at + timeout)
    answer.ended_at = time.monotonic()
    return answer


def read_answer(connection, answer, until):
    data, parsed = b"", False
    try:
        while True:
            left = until - time.monotonic()
            if left <= 0:
                answer.error = "time is up"
                return
            connection.settimeout(left)
            more = connection.recv(65536)
            if not more:
                answer.error = "closed"
                if not parsed:
                    return
            data += more
            if not parsed and b"\r\n\r\n" in data:
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                answer.status = int(lines[0].split(" ")[1])
                answer.headers = {name.strip().lower(): value.strip()
                                  for name, _, value in (line.partition(":") for line in lines[1:])}
                parsed = True
            if parsed and take_body(answer, data):
                return
            if not more:
                return
    except socket.timeout:
        answer.error = "time is up"
    except OSError as error:
        answer.error = str(error)


def take_body(answer, data):
    """Reads the body as far as it has arrived; returns whether it is whole."""
    length = answer.headers.get("content-length")
    if length is not None:
        answer.body = data[:int(length)]
        answer.whole = len(data) >= int(length)
        return answer.whole
    body = b""
    while True:
        size, found, rest = data.partition(b"\r\n")
        if not found:
            break
        size = int(size.split(b";")[0], 16)
        if size == 0:
            answer.whole = rest.startswith(b"\r\n")
            break
        body += rest[:size]
        if len(rest) < size + 2:
            break
        data = rest[size + 2:]
    answer.body = body
    return answer.whole


def request_message(method, path, request_id, deadline_ms, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Slipturn-Request-Id: {request_id}",
             f"Slipturn-Deadline-Milliseconds: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(name, kind, service, timeout_ms, attempts=2, **more):
    return {"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 300, "priority": 1, "service": service, "attempts": attempts,
            "allow_anonymous": False, **more}


def run_case(case, folder):
    """Runs `case(record, trouble)`, which returns whether the rule held, and exits as the issue asks."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begins, trouble {'on' if trouble else 'off'}")
    try:
        held = case(record, trouble)
    except CannotRun as error:
        record.note(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        sys.exit(2)
    record.note("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
