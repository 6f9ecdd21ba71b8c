"""Stand-ins shared by the cases: quote servers, the discovery agent, clients, and the pooler's processes.

Everything runs on loopback addresses, on free ports and on the real clock, in one asyncio loop. The stand-ins follow the
protocol page; a case changes only what its claim names.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GROUP = 2


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def __call__(self, text):
        self.file.write(f"{time.time() - self.start:9.4f}  {text}\n")
        self.file.flush()

    def verdict(self, text):
        self(text)
        print(text, flush=True)


GIVEN = set()


def free_port():
    """A free port below those that the system gives to connections, so that none of these takes it meanwhile."""
    while True:
        port = random.randrange(15_000, 32_000)
        if port in GIVEN:
            continue
        GIVEN.add(port)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass  # in use


async def listen(serve, port, **options):
    """Listens at this port or, if another program has taken it, at another one; returns the server and its port."""
    while True:
        try:
            return await asyncio.start_server(serve, "127.0.0.1", port, **options), port
        except OSError:
            port = free_port()


def new_id():
    return f"{random.getrandbits(64):016x}"


# ---- PostgreSQL messages ----

def message(kind, body=b""):
    return kind.encode() + struct.pack(">I", len(body) + 4) + body


def cstr(text):
    return text.encode() + b"\0"


READY = message("Z", b"I")


def row(value, tag):
    description = struct.pack(">H", 1) + cstr("data") + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1)
    return (message("T", description) + message("D", struct.pack(">HI", 1, len(value)) + value)
            + message("C", cstr(tag)))


def error(code, text="planned"):
    return message("E", cstr("SERROR") + cstr("C" + code) + cstr("M" + text) + b"\0")


def parameter(name, value):
    return message("S", cstr(name) + cstr(value))


async def read_message(reader):
    kind = (await reader.readexactly(1)).decode()
    length = struct.unpack(">I", await reader.readexactly(4))[0]
    return kind, await reader.readexactly(length - 4)


def comment(sql):
    text = sql[sql.rindex("/*") + 2:sql.rindex("*/")].strip()
    return dict(pair.strip().split("=", 1) for pair in text.split(","))


def quoted_key(sql):
    return sql.split("'")[1]


def select(key, name, d, request_id=None):
    return f"SELECT data FROM facts WHERE code = '{key}' /* id={request_id or new_id()},c={name},d={d},cluster={GROUP} */"


def insert(key, value, name, d, request_id=None):
    return (f"INSERT INTO facts (code, data) VALUES ('{key}', '\\x{value.hex()}') RETURNING data "
            f"/* id={request_id or new_id()},c={name},d={d},cluster={GROUP} */")


# ---- Settings of a small deployment ----

CLASSES = [  # name, consistency, bound, on time, deadline, worth, late worth, effect (times in ms)
    ("rate-lookup", "bounded", 300, 300, 1200, 1.0, 0.2, "idempotent"),
    ("my-quotes", "session", 0, 300, 1000, 1.0, 0.0, "idempotent"),
    ("history", "any", 0, 500, 1500, 2.0, 0.0, "idempotent"),
    ("quote-check", "fresh", 0, 600, 2000, 1.0, 0.2, "idempotent"),
    ("save-quote", "write", 0, 1500, 5000, 3.0, 0.5, "at_most_once"),
]
MS = 1_000_000


def settings(classes=CLASSES, balancers=3):
    return {
        "allowed": {"cancel": True, "conn-idle-ns": 15_000 * MS, "connect-timeout-ns": 250 * MS, "max-attempts": 6,
                    "max-open": 20_000, "max-retry-after-ns": 500 * MS, "may-duplicate": True, "peers": False,
                    "probes": True, "retry-after": True, "streams-per-conn": 1},
        "balancers": balancers, "discovery": "automatic",
        "family-info": {"class-bound-ns": [c[2] * MS for c in classes], "consistency": [c[1] for c in classes],
                        "guards": "off", "shows-role": "late", "tells-position": True, "token-mode": "remembered",
                        "wait-ns": 0, "waits-for-copy": False, "zero-ns": 5},
        "guarantees": {"answer-slack-ns": 20 * MS, "ask-every-ns": 10_000 * MS, "cold-share": 0.15,
                       "drain-grace-ns": 2_000 * MS, "fall-ns": 1_500 * MS, "overload-factor": 2.0,
                       "ramp-time-ns": 13_000 * MS},
        "me": 0, "over-share-worth": 0.1,
        "report": {"fields": ["x0", "x1", "outstanding", "utilization"], "how": "inline"},
        "request-classes": [{"name": c[0], "on-time-ns": c[3] * MS, "deadline-ns": c[4] * MS, "worth": c[5],
                             "late-worth": c[6], "effect": c[7], "dedup-scope": "all", "stream": False,
                             "window-ns": 5_000 * MS} for c in classes],
        "skus": ["std-4core"], "step-ns": 5 * MS, "tenants": [], "tier": 0, "zone": 0, "zones": ["north", "east"],
    }


# ---- Discovery's agent ----

class Agent:
    """Answers with the list, or holds a watch until there is something newer, as an agent that lists are pushed to."""

    def __init__(self):
        self.seq = 40
        self.entries = {}
        self.changed_at = {}
        self.news = asyncio.Event()
        self.port = free_port()

    async def start(self):
        self.server, self.port = await listen(self.serve, self.port)

    def put(self, host, **fields):
        self.seq += 1
        entry = self.entries.setdefault(host, {"host": host, "site": "north", "class": "std-4core", "block": GROUP,
                                               "health": "up", "share": 4.0, "born_ms": 0, "replication": "standby"})
        entry.update(fields)
        self.changed_at[host] = self.seq
        self.news.set()
        self.news = asyncio.Event()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [dict(e) for e in self.entries.values()]}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                if "from=" in target:
                    query = dict(p.split("=") for p in target.split("?")[1].split("&"))
                    since, until = int(query["from"]), time.time() + int(query["hold_ms"]) / 1000
                    while self.seq <= since and time.time() < until:
                        try:
                            await asyncio.wait_for(self.news.wait(), max(0.001, until - time.time()))
                        except asyncio.TimeoutError:
                            pass
                    answer = {"seq": self.seq, "whole": False,
                              "hosts": [e for h, e in self.entries.items() if self.changed_at[h] > since]}
                else:
                    answer = self.whole()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ---- Quote servers ----

class Store:
    """The commits of one group, in order: (time of commit, key, value)."""

    def __init__(self):
        self.commits = []

    def commit(self, key, value):
        at = time.time()
        self.commits.append((at, key, value))
        return at

    def value(self, key, position):
        found = None
        for at, k, v in self.commits:
            if at <= position and k == key:
                found = v
        return found or b"none"


class QuoteServer:
    """One member of the group. A query sees what the server had applied when it began."""

    LAG = 0.014

    def __init__(self, name, store, record, primary=False, work=0.060, work_write=0.120):
        self.name, self.store, self.record = name, store, record
        self.primary, self.work, self.work_write = primary, work, work_write
        self.port = free_port()
        self.inflight = 0
        self.connections = set()
        self.server = None
        self.slow_from = None  # since when the log is applied five times more slowly than it grows
        self.position_floor = 0

    @property
    def dial(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server, self.port = await listen(self.serve, self.port, backlog=512, limit=1 << 20)

    def crash(self):
        """The process dies: its connections are reset, new ones are refused."""
        self.server.close()
        self.server = None
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def position(self):
        now = time.time()
        if self.primary:
            return now
        position = now - self.LAG
        if self.slow_from is not None and now > self.slow_from:
            position = min(position, self.slow_from - self.LAG + (now - self.slow_from) * 0.2)
        return position

    def report(self):
        return (f"x0={self.position():.6f},x1={1 if self.primary else 0},inflight={self.inflight},"
                f"util={min(1.0, self.inflight / 4):.2f}")

    def status(self, position=None):
        shown = self.position() if position is None else position
        return (parameter("replication_role", "primary" if self.primary else "standby")
                + parameter("log_position", str(int(shown * 1000))) + parameter("pressure", self.report()) + READY)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = writer.get_extra_info("peername")[1]
        try:
            length = struct.unpack(">I", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            writer.write(message("R", struct.pack(">I", 0)) + READY)
            while True:
                kind, body = await read_message(reader)
                if kind != "Q":
                    return
                await self.query(body[:-1].decode(), writer, peer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def query(self, sql, writer, peer):
        if sql == "SHOW pressure":
            writer.write(row(self.report().encode(), "SHOW") + READY)
            self.told(writer, "a probe's report")
        elif sql == "DISCARD ALL":
            writer.write(message("C", cstr(sql)) + READY)
        else:
            self.inflight += 1
            try:
                await self.request(sql, writer, peer)
            finally:
                self.inflight -= 1

    def told(self, writer, what):
        """Called whenever this server has told its role."""

    async def request(self, sql, writer, peer):
        values, key = comment(sql), quoted_key(sql)
        if sql.startswith("INSERT"):
            if not self.primary:
                writer.write(error("25006") + self.status())
                self.told(writer, f"25006 to {values['id']}")
                return
            await asyncio.sleep(self.work_write)
            if not self.primary:
                writer.write(error("XX000") + self.status())
                return
            value = bytes.fromhex(sql.split("'\\x")[1].split("'")[0])
            at = self.store.commit(key, value)
            self.record(f"{self.name} ran write {values['id']} {key}={value.decode()}")
            # rounded up, so that what is named has the commit
            writer.write(row(value, "INSERT 0 1") + self.status(int(at * 1000 + 1) / 1000))
        else:
            position = self.position()
            value = self.store.value(key, position)
            self.record(f"{self.name} ({'primary' if self.primary else 'standby'}) runs {values['c']} {values['id']} {key}"
                        f" d={values['d']}: {value.decode()}, data {1000 * (time.time() - position):.0f} ms old")
            await asyncio.sleep(self.work)
            writer.write(row(value, "SELECT 1") + self.status())
            self.told(writer, f"the answer to {values['id']}")


# ---- Clients ----

class Client:
    """One connection of a client."""

    @classmethod
    async def connect(cls, port):
        self = cls()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack(">I", 196_608) + cstr("user") + cstr("portal") + cstr("database") + cstr("crm") + b"\0"
        self.writer.write(struct.pack(">I", len(body) + 4) + body)
        kind = ""
        while kind != "Z":
            kind, body = await read_message(self.reader)
            if kind == "E":
                raise ConnectionError("refused: " + sqlstate(body))
        return self

    def send(self, sql):
        self.writer.write(message("Q", cstr(sql)))

    async def answer(self):
        """Returns (SQLSTATE or None, value or None); 'empty' for the answer to an empty query."""
        state = value = None
        while True:
            kind, body = await read_message(self.reader)
            if kind == "E":
                state = sqlstate(body)
                if b"SFATAL\0" in body:
                    return state, None
            elif kind == "D":
                value = body[6:]
            elif kind == "I":
                value = "empty"
            elif kind == "Z":
                return state, value

    async def ask(self, sql):
        self.send(sql)
        return await self.answer()

    def close(self):
        self.writer.close()


def sqlstate(body):
    for field in body.split(b"\0"):
        if field[:1] == b"C":
            return field[1:].decode()
    return ""


# ---- The pooler's processes ----

class Pooler:
    """Starts `run` of the deploy file. The processes of one pooler have addresses and $TMPDIR in common."""

    def __init__(self, agent, record, folder, name="n0", limits=None, pooler_settings=None):
        self.record, self.folder = record, pathlib.Path(folder)
        self.port = free_port()
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir()
        self.config = self.folder / "config.json"
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.processes = []
        self.document = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
                         "management": f"127.0.0.1:{free_port()}", "seed": f"{random.getrandbits(64):016x}",
                         "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": agent.whole(),
                         "settings": pooler_settings or settings()}
        self.config.write_text(json.dumps(self.document))

    async def spawn(self):
        management = free_port()
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_") and k != "JAVA_TOOL_OPTIONS"}
        env.update(BALANCER_CONFIG=str(self.config), BALANCER_NAME=self.document["name"],
                   BALANCER_LISTEN=self.document["listen"], BALANCER_DISCOVERY=self.document["discovery"],
                   BALANCER_MANAGEMENT=f"127.0.0.1:{management}", TMPDIR=str(self.tmp))
        log = open(self.folder / f"pooler-{len(self.processes)}.log", "wb")
        process = subprocess.Popen(["/bin/sh", "-c", self.run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        process.management = management
        self.processes.append(process)
        self.record(f"pooler process {len(self.processes) - 1} started")
        return process

    async def call(self, process, method, path, timeout=1.0):
        """One call at the management address; returns its HTTP status, 0 if there was none."""
        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", process.management)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n".encode())
            try:
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, IndexError):
            return 0

    async def until_ready(self, process, timeout=30):
        """Waits until the process says yes at its management address."""
        end = time.time() + timeout
        while time.time() < end:
            if process.poll() is not None:
                raise CannotRun("a pooler process ended during its start")
            if await self.call(process, "GET", "/api/ready") == 200:
                self.record(f"pooler process {self.processes.index(process)} is ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRun("a pooler process is not ready")

    def signal(self, process, number):
        if process.poll() is None:
            self.record(f"pooler process {self.processes.index(process)} gets {signal.Signals(number).name}")
            process.send_signal(number)


class CannotRun(Exception):
    """The case could not be run; its exit status is 2."""


def main(case, limit=100):
    """
    Runs `case(record, folder, poolers)`, which returns whether the rule was broken, and ends with the case's exit status. Whatever
    ends it, also SIGTERM, its processes and its folder are gone afterwards.
    """
    record = Record(pathlib.Path(sys.argv[1]).resolve() / "record.txt")
    if not (ROOT / "target" / "holdmux" / "lib" / "holdmux-pooler.jar").exists():
        record.verdict("not run: the build of the deploy file is missing")
        sys.exit(2)
    folder = tempfile.mkdtemp(prefix="review-")
    poolers = []
    ending = threading.Lock()

    def end(text, status):
        if not ending.acquire(blocking=False):
            return  # it ends already
        for process in [process for pooler in poolers for process in pooler.processes]:
            process.kill()  # does nothing to one that has ended
            process.wait()
        for log in sorted(pathlib.Path(folder).glob("*.log")):
            record(f"-- {log.name}, last lines")
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                record("   " + line)
        shutil.rmtree(folder, ignore_errors=True)
        record.verdict(text)
        os._exit(status)  # threads of clients may still wait for an answer

    signal.signal(signal.SIGTERM, lambda *_: end("not run: told to end", 2))
    watchdog = threading.Timer(limit + 10, lambda: end("not run: it takes too long", 2))
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, folder, poolers), limit))
        end("rule broken" if broken else "rule held", 1 if broken else 0)
    except Exception as e:  # whatever keeps a case from its end: no verdict on the rule
        end(f"not run: {e!r}", 2)
