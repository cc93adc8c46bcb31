"""Stand-ins of the platform for the cases of this review: discovery, engines and clients on loopback, and the start of
a node with the `run` command of deploy/balancer.toml. They do what PROTOCOL allows them; a case changes one behaviour.
Only the Python standard library is used.
"""
import asyncio, ctypes, json, os, shutil, signal, subprocess, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()


def end_with_parent():
    """In a process that the script starts: it is killed if the script ends first."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def now():
    """Seconds since the script started, by the monotonic clock."""
    return time.monotonic() - T0


def run_command():
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.startswith("run = "):
            return json.loads(line[len("run = "):])
    raise SystemExit(2)


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        # By lines, so that a run that is ended from outside leaves what it has seen.
        self.file = open(path, "w", buffering=1)

    def add(self, text):
        self.file.write(f"{now():9.4f} {text}\n")

    def close(self):
        self.file.close()


def settings(**changes):
    """Settings like those of a small deployment."""
    conf = {
        "accounts": [], "azs": ["a", "b"], "balancers": 1, "callers": {"marks_retry": False}, "counted_by": "work",
        "discovery": "pushed", "family": "twostage",
        "family_info": {"aim_us_per_1000_prompt_tokens": [40000.0] * 3, "duty_by_kind": ["read", "write"],
                        "holds_allowed": True, "let_go_by": 0.5, "memory_tokens": [225272, 189749], "move_fee": 0.04,
                        "read_in_place": False, "resume": False, "token_aim": [0.06, 0.08, 0.07]},
        "feedback": {"fields": ["x0", "x1"], "source": "inline"}, "machine_types": ["prefill", "decode"], "me": 0,
        "over_share_worth": 0.1,
        "permissions": {"attempts_cap": 6, "connect_timeout": 0.25, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                        "keepalive": 15.0, "max_open": 24755, "max_retry_after": 2.0, "may_cancel": True,
                        "may_duplicate": True, "peer_messages": False, "probes": False, "retry_after": False,
                        "streams_per_conn": 100},
        "prices": {"probe": 0.0},
        "profiles": [
            {"deadline": 5.0, "dedup_window": 5.0, "effect": "repeatable", "gain": 2.0, "group": "all",
             "late_value": 0.2, "name": "hint", "objective": 1.0, "streaming": True},
            {"deadline": 15.0, "dedup_window": 5.0, "effect": "repeatable", "gain": 1.0, "group": "all",
             "late_value": 0.2, "name": "test-feedback", "objective": 3.0, "streaming": True},
            {"deadline": 6.0, "dedup_window": 5.0, "effect": "once", "gain": 3.0, "group": "all",
             "late_value": 0.3, "name": "graded-submit", "objective": 1.5, "streaming": True}],
        "result_mix": {"whole": 1.0},
        "rules": {"answer_slack": 0.016, "ask_within": 10.0, "cold_from": 0.26, "overload_for": 1.5,
                  "stop_sending_within": 1.0, "tip_multiple": 2.5, "warm_after": 14.0},
        "tick": 0.001, "tier": 0, "stages": ["model-fleet"], "weight_kind": "nominal", "zone": "a"}
    for path, value in changes.items():
        at = conf
        *parents, last = path.split("__")
        for key in parents:
            at = at[key]
        at[last] = value
    return conf


async def read_head(reader):
    """The start line and the headers of one message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Fleet:
    """What all engines share: the states that are held, and the runs of each request."""

    def __init__(self, record):
        self.record = record
        self.held = {}
        self.runs = {}


class Engine:
    """One engine: a reader answers 202 and holds a state, a writer fetches the state and streams."""

    def __init__(self, fleet, name, role, zone="a", cell=1, read_s=0.02, tokens=4, gap_s=0.02, first_s=0.02):
        self.fleet, self.name, self.role, self.zone, self.cell = fleet, name, role, zone, cell
        self.read_s, self.tokens, self.gap_s, self.first_s = read_s, tokens, gap_s, first_s
        self.arrivals, self.up_since_ms, self.phase, self.behave = [], 0, "up", None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone,
                "flavor": {"read": "prefill", "write": "decode"}[self.role], "cell": self.cell, "phase": self.phase,
                "size": 1.0, "up_since_ms": self.up_since_ms}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                line, headers = message
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                method, path, _ = line.split(" ", 2)
                if method == "DELETE":
                    txn = path.rsplit("/", 1)[1]
                    self.fleet.held.pop(txn, None)
                    self.fleet.record.add(f"engine {self.name} release {txn}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                    continue
                txn = headers.get("x-txn", "?")
                self.arrivals.append((now(), txn))
                self.fleet.record.add(f"engine {self.name} attempt {txn} remaining_ms={headers.get('x-remaining-ms')}")
                answer = self.behave or Engine.answer
                if not await answer(self, txn, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def answer(self, txn, headers, body, reader, writer):
        if self.role == "read":
            await asyncio.sleep(self.read_s)
            self.fleet.held[txn] = self.name
            text = b'{"cached_tokens":0}'
            writer.write(b"HTTP/1.1 202 Accepted\r\ncontent-type: application/json\r\ncontent-length: "
                         + str(len(text)).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            return True
        if txn not in self.fleet.held:
            writer.write(b"HTTP/1.1 410 Gone\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n")
            await writer.drain()
            return True
        await self.stream(txn, writer)
        return True

    async def stream(self, txn, writer):
        self.fleet.held.pop(txn, None)
        self.fleet.runs.setdefault(txn, []).append((now(), self.name))
        self.fleet.record.add(f"engine {self.name} runs {txn}")
        await asyncio.sleep(self.first_s)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
        for number in range(self.tokens):
            self.event(writer, {"choices": [{"index": 0, "delta": {"content": f"{txn}:{number}"}, "finish_reason": None}]})
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        self.event(writer, {"choices": [], "usage": {"prompt_tokens": 10, "completion_tokens": self.tokens,
                                                     "prompt_tokens_details": {"cached_tokens": 0}}})
        self.chunk(writer, b"data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def chunk(self, writer, data):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def event(self, writer, data):
        self.chunk(writer, b"data: " + json.dumps(data).encode() + b"\n\n")


class Discovery:
    """The agent of one node: a list with a revision, and watches."""

    def __init__(self, record):
        self.record, self.engines, self.revision, self.watches = record, {}, 1, {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def full(self):
        return {"revision": self.revision, "complete": True, "members": [e.entry() for e in self.engines.values()]}

    def set(self, *engines):
        """Lists these engines, new or changed, and tells all open watches."""
        self.revision += 1
        for engine in engines:
            self.engines[engine.name] = engine
        change = {"revision": self.revision, "complete": False, "members": [e.entry() for e in engines]}
        for engine in engines:
            self.record.add(f"discovery lists {engine.name} {engine.phase} up_since_ms={engine.up_since_ms}")
            if engine.phase == "removed":
                del self.engines[engine.name]
        for queue in self.watches.values():
            queue.put_nowait(change)

    def send(self, writer, data):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def serve(self, reader, writer):
        try:
            if await read_head(reader) is None:
                return
            queue = self.watches[writer] = asyncio.Queue()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")
            self.send(writer, json.dumps(self.full()).encode() + b"\n")
            await writer.drain()
            while True:
                try:
                    message = json.dumps(await asyncio.wait_for(queue.get(), 2.0)).encode()
                except asyncio.TimeoutError:
                    message = b""
                self.send(writer, message + b"\n")
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.transport.abort()


class Node:
    """One node, started with the deploy file's `run`."""

    def __init__(self, record, name="n0", sockets=1024, memory_mb=192, conf=None):
        self.record, self.name, self.process = record, name, None
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.conf = conf or settings()
        self.log = os.path.join(self.folder, "node.log")

    def write_config(self, discovery, known=None):
        if not getattr(self, "listen", None):
            self.listen = "127.0.0.1:%d" % free_port()
        config = {"name": self.name, "listen": self.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
                  "limits": self.limits, "settings": self.conf}
        if known:
            config["known"] = known
        self.config = os.path.join(self.folder, "config.json")
        temporary = self.config + ".new"
        with open(temporary, "w") as file:
            json.dump(config, file)
        os.replace(temporary, self.config)
        self.discovery = discovery

    def start(self):
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": self.folder, "BALANCER_NAME": self.name,
               "BALANCER_LISTEN": self.listen, "BALANCER_DISCOVERY": self.discovery, "BALANCER_CONFIG": self.config}
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env,
                                        stdout=open(self.log, "ab"), stderr=subprocess.STDOUT, preexec_fn=end_with_parent)
        self.record.add(f"node {self.name} started")

    async def ready(self, limit=30.0):
        until = now() + limit
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the node ended with {self.process.returncode}")
            try:
                status, _, _ = await asyncio.wait_for(get(self.listen, "/up"), 1.0)
                if status == 200:
                    self.record.add(f"node {self.name} ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the node was not ready in 30 s")

    def signal(self, number):
        self.record.add(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def close(self):
        if self.alive():
            self.process.kill()
        if self.process:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def free_port():
    import socket
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return held.getsockname()[1]


async def get(address, path):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        head = await read_head(reader)
        if head is None:
            return 0, {}, b""
        body = await reader.read()
        return int(head[0].split(" ")[1]), head[1], body
    finally:
        writer.transport.abort()


class Answer:
    """What a client got: `end` is served, cut, refused, failed, closed (no byte of an answer) or none (too late)."""

    def __init__(self):
        self.status, self.events, self.end, self.first, self.at = 0, [], "none", None, None


class Client:
    """A client with one connection, which it keeps; one request at a time."""

    def __init__(self, record, address):
        self.record, self.address, self.reader, self.writer = record, address, None, None

    async def connect(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    def request(self, txn, lane, remaining_ms, session="00", labels="prompt_len=100,max_out=16", size=100):
        text = json.dumps({"model": lane, "stream": True, "max_tokens": 16,
                           "messages": [{"role": "user", "content": "x" * size}]}).encode()
        return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n"
                f"X-Entity: {session}\r\nX-Remaining-Ms: {remaining_ms}\r\nX-Labels: {labels}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n").encode() + text

    async def ask(self, txn, lane="hint", remaining_ms=5000, wait_s=None, **more):
        """Sends a request and reads its answer; waits for the first token until 0.6 s after the client's time."""
        answer, repeated = Answer(), False
        limit = wait_s or remaining_ms / 1000 + 0.6
        while True:
            fresh = self.writer is None
            if fresh:
                await self.connect()
            sent = now()
            try:
                self.writer.write(self.request(txn, lane, remaining_ms, **more))
                self.record.add(f"client sends {txn} lane={lane} remaining_ms={remaining_ms}")
                head = await asyncio.wait_for(read_head(self.reader), limit)
            except asyncio.TimeoutError:
                answer.at = now()
                self.close()
                break
            except (ConnectionError, OSError):
                head = None
            if head is None:
                self.close()
                # A resting connection that the node closes as the request is sent: once more on a new one.
                if not fresh and not repeated:
                    repeated = True
                    continue
                answer.end, answer.at = "closed", now()
                break
            answer.sent = sent
            await self.read_answer(answer, *head)
            break
        self.record.add(f"client got {txn} {answer.end} status={answer.status} events={len(answer.events)}")
        return answer

    async def read_answer(self, answer, line, headers):
        answer.status = int(line.split(" ")[1])
        whole = True
        try:
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await asyncio.wait_for(self.reader.readline(), 30)).strip() or b"x", 16)
                    data = await self.reader.readexactly(size + 2)
                    if size == 0:
                        break
                    answer.first = answer.first or now()
                    answer.events.append(data[:-2])
            else:
                await self.reader.readexactly(int(headers.get("content-length", 0)))
        except (ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
            whole = False
        answer.at = now()
        if answer.status == 200:
            answer.end = "served" if whole else "cut"
        elif answer.status in (429, 503):
            answer.end = "refused"
        else:
            answer.end = "failed"
        if not whole or headers.get("connection", "").lower() == "close":
            self.close()


def main(case, folder):
    """Runs a case: `case(record, trouble)` returns whether the rule was broken, with a reason."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.environ.get("RECORD") or os.path.join(folder, "record.txt"))
    nodes = []
    try:
        broken, reason = asyncio.run(asyncio.wait_for(case(record, trouble, nodes), 115))
        record.add(("BROKEN: " if broken else "held: ") + reason)
        print(("BROKEN: " if broken else "held: ") + reason)
        code = 1 if broken else 0
    except CannotRun as error:
        record.add(f"cannot run: {error}")
        print(f"cannot run: {error}")
        code = 2
    except Exception as error:
        record.add(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        code = 2
    finally:
        for node in nodes:
            node.close()
        record.close()
    sys.stdout.flush()
    os._exit(code)
