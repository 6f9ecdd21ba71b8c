"""Stand-ins for clients, servers and discovery as the users' pages describe them, and the start of the project's own
program with the commands of deploy/balancer.toml. Loopback addresses and the real clock only."""
import asyncio
import binascii
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.realpath(__file__))))


class CannotRun(Exception):
    """The case could not run: exit status 2."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.time()

    def __call__(self, text):
        self.file.write(f"{time.time() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def now_ms():
    return int(time.time() * 1000)


# ---- messages of the PostgreSQL protocol, version 3 ----

def message(kind, body=b""):
    return kind + struct.pack("!i", len(body) + 4) + body


def startup(user):
    body = struct.pack("!i", 196608) + b"user\0" + user.encode() + b"\0database\0crm\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text):
    return message(b"Q", text.encode() + b"\0")


def error(code, text):
    return message(b"E", b"SERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


READY = message(b"Z", b"I")
GREETING = message(b"R", struct.pack("!i", 0)) + READY


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def row(value, tag):
    description = struct.pack("!h", 1) + b"data\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    data = struct.pack("!hi", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", tag + b"\0")


async def read_message(reader):
    kind = await reader.readexactly(1)
    (length,) = struct.unpack("!i", await reader.readexactly(4))
    return kind, await reader.readexactly(length - 4)


def sqlstate(body):
    for field in body.split(b"\0"):
        if field[:1] == b"C":
            return field[1:].decode()
    return ""


def attributes(text):
    """The names and values of a statement's closing comment."""
    comment = text[text.rindex("/*") + 2:text.rindex("*/")]
    return {name.strip(): value.strip() for name, value in (pair.split("=", 1) for pair in comment.split(","))}


# ---- the network ----

class Wire:
    """The way of what is written to one connection: every write arrives whole, in order, after the delay of the network."""

    def __init__(self, writer, delay_s):
        self.writer, self.delay_s, self.last = writer, delay_s, 0.0

    def write(self, data):
        low, high = self.delay_s
        loop = asyncio.get_running_loop()
        self.last = max(self.last + 1e-6, loop.time() + random.uniform(low, high))
        loop.call_at(self.last, self.deliver, data)

    def deliver(self, data):
        if not self.writer.transport.is_closing():
            self.writer.write(data)


# ---- servers ----

class Server:
    """One server of a group: answers each statement after its service time with the value made for that request."""

    def __init__(self, name, record, block=1, primary=False, work_s=0.05, lag_ms=10):
        self.name, self.record, self.block, self.primary = name, record, block, primary
        self.work_s, self.lag_ms = work_s, lag_ms
        self.port = free_port()
        self.in_flight = 0
        self.ran = []  # (time, id, class, d)
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=16 << 20)

    def position(self):
        return now_ms() if self.primary else now_ms() - self.lag_ms

    def report(self):
        return (f"x0={self.position() / 1000:.3f},x1={1 if self.primary else 0},inflight={self.in_flight},"
                f"util={min(1.0, self.in_flight / 8):.2f}")

    def status(self, position=None):
        return (parameter("replication_role", "primary" if self.primary else "standby")
                + parameter("log_position", str(position if position is not None else self.position()))
                + parameter("pressure", self.report()))

    def value(self, attrs):
        """The value made for this request: it names the request and the server."""
        return f"value for {attrs['id']} from {self.name}".encode()

    async def answer(self, writer, attrs, data):
        writer.write(data)
        await writer.drain()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            (length,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(length - 4)
            writer.write(GREETING)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    return
                text = body[:-1].decode()
                if text.upper().startswith("SHOW PRESSURE"):
                    writer.write(row(self.report().encode(), b"SHOW") + READY)
                elif text.upper().startswith("SELECT 1"):
                    writer.write(row(b"1", b"SELECT 1") + READY)
                elif not text.strip():
                    writer.write(message(b"I") + READY)
                else:
                    await self.run(writer, text)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the pooler has gone, or the case ends
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, writer, text):
        attrs = attributes(text)
        write = text[:6].upper() == "INSERT"
        if write and not self.primary:
            writer.write(self.status() + error("25006", "not the primary") + READY)
            return
        self.in_flight += 1
        try:
            self.ran.append((time.time(), attrs["id"], attrs["c"], int(attrs["d"])))
            self.record(f"{self.name} runs {attrs['id']} c={attrs['c']} d={attrs['d']} bytes={len(text)}")
            await asyncio.sleep(self.work_s)
        finally:
            self.in_flight -= 1
        await self.answer(writer, attrs, row(self.value(attrs), b"INSERT 0 1" if write else b"SELECT 1")
                          + self.status(now_ms() + 1 if write else None) + READY)

    def entry(self, health="up", born_ms=0):
        return {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "north", "class": "std", "block": self.block,
                "health": health, "share": 4.0, "born_ms": born_ms, "replication": "primary" if self.primary else "standby"}


# ---- discovery ----

class Discovery:
    """The agent on the pooler's machine: the whole list, and watches that wait for changes."""

    def __init__(self, record, entries):
        self.record, self.entries = record, {entry["host"]: entry for entry in entries}
        self.port = free_port()
        self.seq = 41
        self.changed_at = {}
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def change(self, entry):
        self.seq += 1
        self.entries[entry["host"]] = entry
        self.changed_at[entry["host"]] = self.seq
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def listing(self, since=None):
        hosts = [entry for host, entry in self.entries.items() if since is None or self.changed_at.get(host, 0) > since]
        return {"seq": self.seq, "whole": since is None, "hosts": hosts}

    async def on_call(self, line):
        """Called for each call, before it is answered."""

    async def serve(self, reader, writer):
        try:
            while True:
                line = (await reader.readline()).decode()
                if not line:
                    return
                while (await reader.readline()).strip():
                    pass
                self.calls += 1
                await self.on_call(line)
                match = re.search(r"from=(\d+)&hold_ms=(\d+)", line)
                if match and int(match[1]) >= self.seq:
                    try:
                        await asyncio.wait_for(self.changed.wait(), int(match[2]) / 1000)
                    except asyncio.TimeoutError:
                        pass
                body = json.dumps(self.listing(int(match[1]) if match else None)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the caller has gone, or the case ends
        finally:
            writer.close()


# ---- clients ----

class Answer:
    def __init__(self, kind, value=b"", code=""):
        self.kind, self.value, self.code, self.at = kind, value, code, time.time()

    def __str__(self):
        return self.kind + (" " + self.code if self.code else "") + (" " + self.value[:60].decode() if self.value else "")


class Client:
    """One client connection: writes a statement and reads its one answer."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=16 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(startup("portal"))
        while (await read_message(self.reader))[0] != b"Z":
            pass
        return self

    async def read_answer(self):
        value, code, complete, empty = None, None, False, False
        while True:
            kind, body = await read_message(self.reader)
            if kind == b"D":
                value = body[6:]
            elif kind == b"C":
                complete = True
            elif kind == b"E":
                code = sqlstate(body)
            elif kind == b"I":
                empty = True
            elif kind == b"Z":
                break
        if code is not None:
            return Answer("refused" if code in ("53300", "57P03") else "failed", code=code)
        return Answer("ready") if empty else Answer("served" if complete and value is not None else "not whole", value or b"")

    async def ask(self, text):
        self.writer.write(query(text))
        await self.writer.drain()
        return await self.read_answer()

    def close(self):
        if self.writer is not None:
            self.writer.close()


def new_id():
    return binascii.hexlify(os.urandom(8)).decode()


def select(key, request_id, name, d, cluster=1, more=""):
    return f"SELECT data FROM facts WHERE code = '{key}' /* id={request_id},c={name},d={d},cluster={cluster}{more} */"


def insert(key, value_hex, request_id, name, d, cluster=1, more=""):
    return (f"INSERT INTO facts (code, data) VALUES ('{key}', '\\x{value_hex}') RETURNING data "
            f"/* id={request_id},c={name},d={d},cluster={cluster}{more} */")


# ---- the project's own program ----

SECOND = 1_000_000_000


def request_class(name, effect, on_time_ms, deadline_ms, worth, late_worth):
    return {"name": name, "effect": effect, "dedup-scope": "all", "on-time-ns": on_time_ms * 1_000_000,
            "deadline-ns": deadline_ms * 1_000_000, "worth": worth, "late-worth": late_worth, "stream": False,
            "window-ns": 5 * SECOND}


def settings(classes=None):
    """The settings of a small deployment, with the figures of the users' wire page."""
    classes = classes or [
        ("bounded", 300_000_000, request_class("rate-lookup", "idempotent", 300, 1200, 1.0, 0.2)),
        ("session", 0, request_class("my-quotes", "idempotent", 300, 1000, 1.0, 0.0)),
        ("any", 0, request_class("history", "idempotent", 500, 1500, 2.0, 0.0)),
        ("fresh", 0, request_class("quote-check", "idempotent", 600, 2000, 1.0, 0.2)),
        ("write", 0, request_class("save-quote", "at_most_once", 1500, 5000, 3.0, 0.5))]
    return {
        "allowed": {"cancel": True, "conn-idle-ns": 15 * SECOND, "connect-timeout-ns": 250_000_000, "max-attempts": 6,
                    "max-open": 20000, "max-retry-after-ns": 500_000_000, "may-duplicate": True, "peers": False,
                    "probes": True, "retry-after": True, "streams-per-conn": 1},
        "balancers": 3, "callers": {"marks-retry": False}, "discovery": "automatic",
        "family-info": {"class-bound-ns": [bound for _, bound, _ in classes], "consistency": [kind for kind, _, _ in classes],
                        "guards": "off", "shows-role": "late", "tells-position": True, "token-mode": "remembered",
                        "wait-ns": 0, "waits-for-copy": False, "zero-ns": 0},
        "guarantees": {"answer-slack-ns": 20_000_000, "ask-every-ns": 10 * SECOND, "cold-share": 0.15,
                       "drain-grace-ns": 2 * SECOND, "fall-ns": 1_500_000_000, "overload-factor": 2.0,
                       "ramp-time-ns": 13 * SECOND},
        "layers": "quote-db", "me": 0, "over-share-worth": 0.1,
        "report": {"fields": ["x0", "x1", "outstanding", "utilization"], "how": "inline"},
        "request-classes": [entry for _, _, entry in classes], "service-type": "replicas", "skus": ["std"],
        "step-ns": 5_000_000, "tenants": [], "tier": 0, "weight-source": "rough", "worth-by": "request", "zone": 0,
        "zones": ["north"]}


class Site:
    """A temporary folder with the configuration, and the processes started from it."""

    def __init__(self, record, discovery, memory_mb=192, sockets=1024):
        self.record, self.discovery = record, discovery
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tmp = os.path.join(self.folder, "t")
        os.mkdir(self.tmp)
        self.port = free_port()
        self.processes = []
        self.config = {"name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
                       "seed": binascii.hexlify(os.urandom(8)).decode(),
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": discovery.listing(), "settings": settings()}

    def start(self, management=None, log="pooler.log"):
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if not os.path.isdir(os.path.join(ROOT, "target", "holdmux", "lib")):
            raise CannotRun("the build of the deploy file has not been run")
        env = dict(os.environ, TMPDIR=self.tmp, BALANCER_CONFIG=path, BALANCER_NAME=self.config["name"],
                   BALANCER_LISTEN=self.config["listen"], BALANCER_DISCOVERY=self.config["discovery"])
        if management:
            env["BALANCER_MANAGEMENT"] = management
        self.log_path = os.path.join(self.folder, log)
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                   stdout=subprocess.DEVNULL, stderr=open(self.log_path, "wb"), start_new_session=True)
        process.log_path = self.log_path
        self.processes.append(process)
        self.record(f"run started as process {process.pid}")
        return process

    async def until_ready(self, process, limit_s=30):
        """Asks the empty query as the front does, until the pooler says yes."""
        end = time.time() + limit_s
        while time.time() < end:
            if process.poll() is not None:
                raise CannotRun("the pooler ended during its start")
            client = Client(self.port)
            try:
                await asyncio.wait_for(client.connect(), 2)
                if (await asyncio.wait_for(client.ask(""), 6)).kind == "ready":
                    self.record("the pooler is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                client.close()
        raise CannotRun("the pooler did not become ready")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            self.record(f"process {process.pid} ended with {process.returncode}")
        for process in self.processes:
            try:
                with open(process.log_path, encoding="utf-8", errors="replace") as file:
                    for line in file.read().splitlines()[-40:]:
                        self.record("log " + line)
            except OSError:
                pass
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the case still ends what it started
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"start, {'with' if trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        record(f"the case could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        return 2
    for line in broken:
        record("BROKEN " + line)
        print("broken: " + line)
    record(f"end: {len(broken)} breaks")
    print(f"{len(broken)} breaks")
    return 1 if broken else 0
