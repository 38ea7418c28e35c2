"""A runner: answers plain calls and streams, reports and orders, as PROTOCOL.md tells them.

Usage: runner.py HOST PORT ID LOG [NAME=VALUE ...]; the work of a request can also stand in its path.

  work_ms=60       time of a plain call
  events=20        events of a stream
  event_ms=50      time between events
  pause_ms=0       pause after every sixth event of a stream with "preempted" in its path: the runner's memory ran out,
                   and it reads the prompt anew
  unframed=0       1: answers have neither a length nor chunks, and end with their connection
"""

import json
import socket
import sys
import threading
import time

HOST, PORT, ID, LOG = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]
OPTIONS = {"work_ms": 60, "events": 20, "event_ms": 50, "pause_ms": 0, "unframed": 0}
OPTIONS.update((name, int(value)) for name, value in (part.split("=") for part in sys.argv[5:]))
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
lock = threading.Lock()
log = open(LOG, "a", encoding="utf-8")
running = 0
sequence = 0


def note(event, request_id, text="-"):
    with lock:
        log.write(f"{time.monotonic():.6f} {event} {request_id} {text}\n")
        log.flush()


def head(status, fields):
    lines = [f"HTTP/1.1 {status} -"] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def event(number):
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def call_body(request_id):
    return (f"receipt of {request_id}: " + "0123456789" * 80 + " end\n").encode()


class Connection:
    def __init__(self, stream):
        self.stream, self.data = stream, b""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self):
        more = self.stream.recv(65536)
        self.data += more
        return bool(more)

    def request(self):
        while b"\r\n\r\n" not in self.data:
            if not self.fill():
                return None
        text, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        fields = {name.strip().lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in lines[1:])}
        length = int(fields.get("content-length", "0"))
        while len(self.data) < length:
            if not self.fill():
                return None
        body, self.data = self.data[:length], self.data[length:]
        return method, path, fields, body

    def is_closed(self):
        """Whether the sender of the request has closed its connection."""
        self.stream.setblocking(False)
        try:
            return self.stream.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.stream.setblocking(True)


def serve(stream):
    global running
    connection = Connection(stream)
    try:
        while True:
            request = connection.request()
            if request is None:
                return
            method, path, fields, body = request
            if path == "/-/report":
                answer_json(stream, report())
            elif path == "/-/order":
                answer_json(stream, order(body))
            elif path == "/health":
                stream.sendall(head(200, [("Slipturn-Instance-Id", ID), ("Content-Length", 0)]))
            elif not answer_request(connection, path, fields):
                return
    except OSError:
        pass
    finally:
        stream.close()


def answer_json(stream, value):
    text = json.dumps(value).encode()
    stream.sendall(head(200, [("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)


def report():
    return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
            "sequence": sequence, "queued_requests": 0, "running_requests": running, "kv_cache_used": 0,
            "kv_cache_total": 405000, "handles": 0, "pace": 1.0, "tickets": []}


def order(_body):
    global sequence
    sequence += 1
    return {"free": 405000}


def answer_request(connection, path, fields):
    """Answers a request; returns whether the connection stays open."""
    global running
    stream, request_id = connection.stream, fields.get("slipturn-request-id", "")
    if fields.get("slipturn-expect-instance", ID) != ID:
        stream.sendall(head(421, [("Slipturn-Request-Id", request_id), ("Slipturn-Instance-Id", ID),
                                  ("Content-Length", 0)]))
        return True
    with lock:
        running += 1
    note("run", request_id, path)
    try:
        if "slipturn-token-counts" in fields:
            return answer_stream(connection, request_id, path, fields)
        return answer_call(connection, request_id, path)
    finally:
        with lock:
            running -= 1


def answer_call(connection, request_id, path):
    parts = path.strip("/").split("/")
    work_ms = int(parts[-1]) if parts[-1].isdigit() else OPTIONS["work_ms"]
    until = time.monotonic() + work_ms / 1000
    while time.monotonic() < until:
        time.sleep(min(0.02, max(0.0, until - time.monotonic())))
        if connection.is_closed():
            note("left", request_id)
            return False
    body = call_body(request_id)
    fields = [("Slipturn-Request-Id", request_id), ("Slipturn-Response-Seal", SEAL),
              ("Slipturn-Server-Load", f"{running},0,16"), ("Content-Length", len(body))]
    note("done", request_id)
    connection.stream.sendall(head(200, fields) + body)
    return True


def answer_stream(connection, request_id, path, fields):
    stream, unframed = connection.stream, OPTIONS["unframed"]
    answer_fields = [("Slipturn-Request-Id", request_id), ("Slipturn-Response-Seal", SEAL), ("Versions", 1),
                     ("Content-Type", "text/event-stream")]
    answer_fields.append(("Connection", "close") if unframed else ("Transfer-Encoding", "chunked"))
    time.sleep(OPTIONS["event_ms"] / 1000)
    stream.sendall(head(200, answer_fields))
    first = int(fields.get("last-event-id", "0")) + 1
    for number in range(first, OPTIONS["events"] + 1):
        piece = event(number)
        stream.sendall(piece if unframed else b"%x\r\n%s\r\n" % (len(piece), piece))
        note("event", request_id, str(number))
        is_preempted = "preempted" in path and number % 6 == 0
        until = time.monotonic() + OPTIONS["pause_ms" if is_preempted else "event_ms"] / 1000
        while number < OPTIONS["events"] and time.monotonic() < until:
            time.sleep(min(0.02, max(0.0, until - time.monotonic())))
            if connection.is_closed():
                note("left", request_id)
                return False
    note("done", request_id)
    if not unframed:
        stream.sendall(b"0\r\n\r\n")
    return not unframed


def main():
    listener = socket.create_server((HOST, PORT), backlog=256)
    note("listens", "-")
    while True:
        stream, _ = listener.accept()
        threading.Thread(target=serve, args=(stream,), daemon=True).start()


main()
