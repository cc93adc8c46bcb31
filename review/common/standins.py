"""Stand-ins of the platform for the cases in review/: discovery, engines, clients, and the node as a process.

Everything runs on 127.0.0.1 with free ports and the real clock, with the standard library only. The stand-ins
follow PROTOCOL: `GET /discovery/hosts`, `POST /v1/chat/completions`, `DELETE /v1/holds/ID`.
"""

import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2
HOST = "127.0.0.1"


class Record:
    """The file record.txt: one line for each thing sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file.write(f"TROUBLE={1 if TROUBLE else 0}\n")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            at = self.now()
            self.file.write(f"{at:9.4f} {text}\n")
            return at


class Message:
    """A parsed HTTP/1.1 message."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body


class HttpReader:
    """Reads HTTP/1.1 messages from a blocking socket."""

    def __init__(self, connection):
        self.connection, self.buffer, self.eof = connection, b"", False

    def _more(self):
        data = self.connection.recv(65536)
        if not data:
            self.eof = True
            raise EOFError
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.buffer) < count:
            self._more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line().decode("latin1")
        headers = {}
        while True:
            line = self.line().decode("latin1")
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def chunks(self):
        """Yields the chunks of a chunked body, up to the last chunk."""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            data = self.exactly(size)
            self.exactly(2)
            yield data

    def message(self):
        first, headers = self.head()
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b"".join(self.chunks())
        else:
            body = self.exactly(int(headers.get("content-length", "0")))
        return Message(first, headers, body)


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(512)
    return listener


def in_thread(function, *arguments):
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def accept_each(listener, serve):
    """Serves each connection of a listener in a thread of its own."""

    def loop():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_thread(guarded, serve, connection)

    def guarded(function, connection):
        try:
            function(connection)
        except (OSError, EOFError, ValueError):
            pass

    in_thread(loop)


def answer(status, reason, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Discovery:
    """The agent of discovery: the list, and watches that tell changes and an empty line every 2 s."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.revision, self.members, self.changed = 1, {}, {}
        self.watches = []
        self.silent, self.lost = False, []
        self.listener = listen()
        self.address = "%s:%d" % self.listener.getsockname()
        accept_each(self.listener, self.serve)
        in_thread(self.beat)

    def add(self, member):
        self.members[member["id"]] = member
        self.changed[member["id"]] = self.revision

    def change(self, engine, phase):
        """Publishes a change; watches that are not silent are told at once."""
        with self.lock:
            self.revision += 1
            self.members[engine] = dict(self.members[engine], phase=phase)
            self.changed[engine] = self.revision
            at = self.record(f"discovery has {engine}: {phase}, revision {self.revision}")
            if not self.silent:
                self.tell([engine])
            return at

    def tell(self, engines):
        line = json.dumps({"revision": self.revision, "complete": False,
                           "members": [self.members[engine] for engine in engines]}) + "\n"
        self.write(line.encode())

    def write(self, data):
        for watch in list(self.watches):
            try:
                watch.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            except OSError:
                self.watches.remove(watch)

    def beat(self):
        """An empty line every 2 s to each open watch."""
        while True:
            time.sleep(2)
            with self.lock:
                if not self.silent:
                    self.write(b"\n")
                    self.record("discovery writes an empty line to each open watch")

    def fall_silent(self):
        """Discovery is down: nothing more is written. The connections of this time never carry anything again."""
        with self.lock:
            self.silent = True
            self.lost += self.watches
            self.watches.clear()
            return self.record("discovery is down: it stays silent")

    def come_back(self):
        """Discovery is back: from now on it answers each new call at once."""
        with self.lock:
            self.silent = False
            return self.record("discovery is back: each call from now on is answered at once")

    def serve(self, connection):
        reader = HttpReader(connection)
        while True:
            request = reader.message()
            target = request.first.split()[1]
            with self.lock:
                if self.silent:
                    self.record(f"discovery gets GET {target} while it is down, and stays silent")
                    self.lost.append(connection)
                    return
                self.record(f"discovery gets GET {target} and answers at once")
                index = None
                if "index=" in target:
                    index = int(target.split("index=")[1].split("&")[0])
                if index is None or index > self.revision:
                    complete, engines = True, list(self.members)
                else:
                    complete, engines = False, [e for e, r in self.changed.items() if r > index]
                body = (json.dumps({"revision": self.revision, "complete": complete,
                                    "members": [self.members[e] for e in engines]}) + "\n").encode()
                if "stream=1" not in target:
                    connection.sendall(answer(200, "OK", [("Content-Type", "application/json")], body))
                    continue
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                connection.sendall(head + b"%x\r\n%s\r\n" % (len(body), body))
                self.watches.append(connection)
        # The watch lasts until its connection ends.


class Engines:
    """Readers and writers. States that were read wait at their reader until a writer fetches them or a call
    frees them."""

    def __init__(self, record, discovery, cells):
        self.record, self.discovery, self.lock = record, discovery, threading.Lock()
        self.states = {}            # request -> (reader, when the read ended)
        self.freed = {}             # request -> when its state was fetched or freed
        self.reads = []             # (when the read ended, request)
        self.arrivals = []          # (time of the last byte, engine, request, X-Remaining-Ms)
        self.read_time = lambda request: 0.05
        self.first_token_time = lambda request, engine: 0.05
        self.tokens, self.token_time = 4, 0.02
        self.open = {}              # streams: request -> engine
        self.ports, self.listeners, self.connections = {}, {}, {}
        for cell in range(cells):
            for flavor in ("prefill", "decode"):
                for number in range(2):
                    self.add(f"{flavor}-{cell}{number}", flavor, cell)

    def add(self, name, flavor, cell):
        listener = listen()
        self.ports[name], self.listeners[name], self.connections[name] = listener.getsockname()[1], listener, []
        accept_each(listener, lambda connection: self.serve(name, flavor, connection))
        address = "%s:%d" % listener.getsockname()
        self.discovery.add({"id": name, "host_port": address, "locality": "hall-b" if cell == 2 else "hall-a", "flavor": flavor,
                            "cell": cell, "phase": "up", "size": 1.0, "up_since_ms": 0})

    def end(self, name):
        """The engine's process ends: its connections are reset and new ones refused."""
        streams = [txn for txn, engine in list(self.open.items()) if engine == name]
        self.record(f"{name} ends; these streams break: {' '.join(sorted(streams)) or 'none'}")
        self.listeners[name].shutdown(socket.SHUT_RDWR)
        self.listeners[name].close()
        for connection in self.connections[name]:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass

    def serve(self, name, flavor, connection):
        self.connections[name].append(connection)
        reader = HttpReader(connection)
        while True:
            request = reader.message()
            method, target, _ = request.first.split()
            if method == "DELETE" and target.startswith("/v1/holds/"):
                self.free(target.rsplit("/", 1)[1], f"freed by a call at {name}")
                connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            if method == "POST" and target.startswith("/v1/holds/"):
                connection.sendall(answer(409, "Conflict"))     # no place is held ahead
                continue
            txn = request.headers.get("x-txn")
            if txn is None:
                connection.sendall(answer(404, "Not Found"))
                continue
            remaining = int(request.headers.get("x-remaining-ms", "-1"))
            at = self.record(f"{name} gets the last byte of {txn}, X-Remaining-Ms {remaining}")
            with self.lock:
                self.arrivals.append((at, name, txn, remaining))
            if flavor == "prefill":
                self.read(name, txn, connection)
            else:
                self.write(name, txn, connection)

    def free(self, txn, how):
        with self.lock:
            if self.states.pop(txn, None) is not None:
                self.freed[txn] = self.record(f"the state of {txn} is {how}")

    def read(self, name, txn, connection):
        time.sleep(self.read_time(txn))
        if self.has_ended(connection):
            self.record(f"{name} drops {txn}: its connection has ended")
            raise EOFError
        with self.lock:
            at = self.record(f"{name} has read {txn}; its state waits there")
            self.states[txn] = (name, at)
            self.reads.append((at, txn))
        connection.sendall(answer(202, "Accepted", [("X-Pressure", "x0=0.2,x1=0.5")], b'{"cached_tokens":0}'))

    def write(self, name, txn, connection):
        with self.lock:
            has_state = txn in self.states
        if not has_state:
            self.record(f"{name} turns {txn} away: no state")
            connection.sendall(answer(410, "Gone", [("X-Turned-Away", "1")]))
            return
        time.sleep(self.first_token_time(txn, name))
        if self.has_ended(connection):
            self.record(f"{name} drops {txn}: its connection has ended")
            raise EOFError
        self.free(txn, f"fetched by {name}")
        self.open[txn] = name
        try:
            self.stream(name, txn, connection)
        finally:
            del self.open[txn]

    def stream(self, name, txn, connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.tokens):
            last = number == self.tokens - 1
            event = {"choices": [{"index": 0, "delta": {"content": f"{txn}."}, "finish_reason": "stop" if last else None}]}
            self.event(connection, json.dumps(event))
            time.sleep(self.token_time)
        usage = {"prompt_tokens": 5000, "completion_tokens": 16, "prompt_tokens_details": {"cached_tokens": 0}}
        self.event(connection, json.dumps({"choices": [], "usage": usage}))
        self.event(connection, "[DONE]")
        connection.sendall(b"0\r\n\r\n")
        self.record(f"{name} has written the stream of {txn}")

    @staticmethod
    def event(connection, data):
        data = f"data: {data}\n\n".encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    @staticmethod
    def has_ended(connection):
        try:
            return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


def settings(node, nodes):
    """Settings like those of the site latih-cyberjaya: its classes, limits and rules."""

    def profile(name, effect, deadline, objective):
        return {"name": name, "deadline": deadline, "effect": effect, "group": "all", "dedup_window": 5.0,
                "gain": 2.0, "late_value": 0.2, "objective": objective, "streaming": True}

    return {
        "accounts": [], "azs": ["hall-a", "hall-b"], "balancers": nodes, "me": node, "zone": "hall-a", "tier": 0,
        "stages": ["model-fleet"], "tick": 0.004, "weight_kind": "nominal", "counted_by": "work",
        "callers": {"marks_retry": False}, "discovery": "pushed", "family": "twostage",
        "family_info": {"aim_us_per_1000_prompt_tokens": [40000.0, 40000.0, 40000.0], "duty_by_kind": ["read", "write"],
                        "holds_allowed": True, "let_go_by": 0.5, "memory_tokens": [220000, 190000],
                        "move_fee": 0.04, "read_in_place": False, "resume": False, "token_aim": [0.06, 0.08, 0.07],
                        "report_x0": "share of memory that is held",
                        "report_x1": "thousands of prompt tokens waiting to be read or fetched"},
        "feedback": {"fields": ["x0", "x1"], "source": "inline"},
        "machine_types": ["prefill", "decode"], "over_share_worth": 0.1,
        "permissions": {"attempts_cap": 6, "connect_timeout": 0.25, "cpu_us_per_request": 0.0,
                        "cpu_us_per_s": 600000, "keepalive": 15.0, "max_open": 20000, "max_retry_after": 2.0,
                        "may_cancel": True, "may_duplicate": True, "peer_messages": False, "probes": False,
                        "retry_after": False, "streams_per_conn": 1},
        "prices": {"cross_zone": 0.02, "late_fail": 0.03, "probe": 0.0, "waste": 0.08},
        "profiles": [profile("hint", "repeatable", 5.0, 1.0),
                     profile("test-feedback", "repeatable", 15.0, 3.0), profile("graded-submit", "once", 6.0, 1.5)],
        "result_mix": {"whole": 0.55, "worst_class": 0.35, "worst_tenant": 0.0, "worst_window": 0.1},
        "rules": {"answer_slack": 0.016, "ask_within": 10.0, "cold_from": 0.3, "overload_for": 1.5,
                  "stop_sending_within": 1.0, "tip_multiple": 2.5, "warm_after": 14.0},
    }


class Nodes:
    """Nodes as processes, started with the command `run` of the deploy file."""

    def __init__(self, record, discovery, count, folder, limits):
        self.record, self.processes, self.addresses = record, [], []
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = next(line for line in file if line.startswith("run")).split("=", 1)[1].strip().strip('"')
        for node in range(count):
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                address = "%s:%d" % probe.getsockname()
            config = os.path.join(folder, f"config-{node}.json")
            with open(config, "w") as file:
                json.dump({"name": f"n{node}", "listen": address, "discovery": discovery.address,
                           "seed": "8c1f30d27a5be96%x" % node,
                           "limits": limits,
                           "known": {"revision": discovery.revision, "complete": True,
                                     "members": list(discovery.members.values())},
                           "settings": settings(node, count)}, file)
            environment = dict(os.environ, BALANCER_NAME=f"n{node}", BALANCER_LISTEN=address,
                               BALANCER_DISCOVERY=discovery.address, BALANCER_CONFIG=config, TMPDIR=folder)
            log = open(os.path.join(folder, f"log-{node}.txt"), "w")
            self.processes.append(subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                                   stdout=log, stderr=log))
            self.addresses.append((HOST, int(address.rsplit(":", 1)[1])))
        record(f"{count} nodes started with: {run}")

    def wait_until_ready(self, seconds=10):
        end = time.monotonic() + seconds
        for address in self.addresses:
            while True:
                try:
                    with socket.create_connection(address, 1) as connection:
                        connection.sendall(b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                        if HttpReader(connection).message().first.split()[1] == "200":
                            break
                except (OSError, EOFError):
                    pass
                if time.monotonic() > end:
                    raise RuntimeError("a node is not ready")
                time.sleep(0.05)
        self.record("all nodes are ready")

    def have_crashed(self):
        return any(process.poll() is not None for process in self.processes)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


class Platform:
    """Everything together."""

    def __init__(self, folder, nodes=2, cells=3, prepare=lambda platform: None, memory_mb=192, sockets=1024):
        self.record = Record(folder)
        self.discovery = Discovery(self.record)
        self.engines = Engines(self.record, self.discovery, cells)
        prepare(self)
        self.temporary = tempfile.TemporaryDirectory()
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.nodes = Nodes(self.record, self.discovery, nodes, self.temporary.name, limits)

    def stop(self):
        self.nodes.stop()
        self.temporary.cleanup()


def request(txn, lane, session, remaining_ms, prompt_tokens=1000):
    """A client's request; four characters make a token."""
    text = "x" * (4 * prompt_tokens)
    body = json.dumps({"model": lane, "stream": True, "max_tokens": 64,
                       "messages": [{"role": "user", "content": text}]}).encode()
    head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nContent-Type: application/json\r\n"
            f"X-Txn: {txn}\r\nX-Lane: {lane}\r\nX-Entity: {session}\r\nX-Remaining-Ms: {remaining_ms}\r\n"
            f"X-Labels: prompt_len={prompt_tokens},prefix_len=0,max_out=64\r\nContent-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Client:
    """A client: one request at a time on a connection that it keeps."""

    def __init__(self, address):
        self.address, self.connection = address, None

    def ask(self, data, timeout):
        """Sends a request; returns the status of its complete answer, None if none came to its end."""
        try:
            if self.connection is None:
                self.connection = socket.create_connection(self.address, 2)
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.reader = HttpReader(self.connection)
            self.connection.settimeout(timeout)
            self.connection.sendall(data)
            answer = self.reader.message()
        except (OSError, EOFError):
            self.close()
            return None
        if "close" in answer.headers.get("connection", ""):
            self.close()
        return int(answer.first.split()[1])

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Traffic:
    """Ordinary clients: each asks, waits for its answer, rests and asks again."""

    def __init__(self, platform, clients=10, rest=0.4, lane="hint", remaining_ms=5000):
        self.record, self.stopped, self.counts = platform.record, False, {}
        self.lock, self.lane = threading.Lock(), lane
        self.threads = [in_thread(self.run, address, node, client, rest, lane, remaining_ms)
                        for node, address in enumerate(platform.nodes.addresses) for client in range(clients)]

    def run(self, address, node, client, rest, lane, remaining_ms):
        own = Client(address)
        jitter = random.Random(f"{lane}{node}{client}")
        time.sleep(jitter.random())
        turn = 0
        while not self.stopped:
            turn += 1
            txn = f"{lane[0]}{node}-{client}-{turn}"
            self.record(f"client sends {txn} ({lane}) to node {node}")
            status = own.ask(request(txn, lane, f"{node:02x}{client:02x}{turn:04x}", remaining_ms), 10)
            self.record(f"client has the answer to {txn}: {status}")
            with self.lock:
                self.counts[status] = self.counts.get(status, 0) + 1
            time.sleep(rest * jitter.uniform(0.5, 1.5))
        own.close()

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join(12)


def main(case):
    """Runs a case: `case(folder)` returns the verdict and what was seen."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))  # ends the nodes, by `finally` of the case
    if not os.path.exists(os.path.join(ROOT, "target", "release", "pintally")):
        print("could not run: target/release/pintally is not built")
        sys.exit(UNABLE)
    try:
        verdict, seen = case(folder)
    except Exception as error:  # the case itself could not run
        print(f"could not run: {error!r}")
        sys.exit(UNABLE)
    print(("HELD: " if verdict == HELD else "BROKEN: " if verdict == BROKEN else "could not run: ") + seen)
    sys.stdout.flush()
    os._exit(verdict)
