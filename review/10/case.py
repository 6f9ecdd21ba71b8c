"""Clients send a request and much more at once, and go; the quote server that has the request turns it away late."""
import asyncio
import pathlib
import random
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import (READY, TROUBLE, Agent, CannotRun, Client, Pooler, QuoteServer, Store, comment, cstr, error, insert, main, message,
                 new_id, select)

GONE = 0.1 + 0.05  # an attempt may begin this long after the client's close
SAID_LENGTH = 60_000_000  # of the command that the client begins and does not finish
SIZES = [2_000_000, 3_000_000, 4_000_000]  # how much of it is sent
TURNED_AWAY_AFTER = [0.25, 0.35, 0.45]  # seconds, by the size


async def case(record, folder, poolers):
    store, agent = Store(), Agent()
    attempts = {}  # by request: when its attempts had come whole
    turn_away = {}  # by request: after how long its first attempt is turned away
    closed_at = {}

    class Member(QuoteServer):
        async def request(self, sql, writer, peer):
            request = comment(sql)["id"]
            attempts.setdefault(request, []).append(time.time())
            record(f"{self.name} gets attempt {len(attempts[request])} of {comment(sql)['c']} {request}")
            if request in turn_away and len(attempts[request]) == 1:
                await asyncio.sleep(turn_away[request])
                record(f"{self.name} turns {request} away")
                writer.write(error("53300") + self.status())
            else:
                await super().request(sql, writer, peer)

    servers = [Member(f"s-{i}", store, record, primary=i == 0) for i in range(5)]
    for server in servers:
        await server.start()
        agent.put(server.name, dial=server.dial, replication="primary" if server.primary else "standby")
    await agent.start()
    pooler = Pooler(agent, record, folder)
    poolers.append(pooler)
    process = await pooler.spawn()
    await pooler.until_ready(process)
    served = 0
    stop = asyncio.Event()

    async def usual_client():
        nonlocal served
        client = await Client.connect(pooler.port)
        while not stop.is_set():
            state, _ = await client.ask(select("rates", "history", 1500))
            served += state is None
            await asyncio.sleep(0.1)
        client.close()

    def send_and_go(sql, request, size):
        """Sends everything at full speed and closes; it has read all that it was sent."""
        with socket.create_connection(("127.0.0.1", pooler.port), timeout=10) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            body = struct.pack(">I", 196_608) + cstr("user") + cstr("portal") + cstr("database") + cstr("crm") + b"\0"
            connection.sendall(struct.pack(">I", len(body) + 4) + body)
            greeting = b""
            while not greeting.endswith(READY):
                greeting += connection.recv(4096)
            data = message("Q", cstr(sql))
            if TROUBLE:
                data += b"Q" + struct.pack(">I", SAID_LENGTH) + b"x" * size
            connection.sendall(data)
        closed_at[request] = time.time()
        record(f"client of {request} has sent {len(data)} bytes and closed its connection")

    usual = [asyncio.create_task(usual_client()) for _ in range(3)]
    for number in range(12):
        request, at = new_id(), number % len(SIZES)
        turn_away[request] = TURNED_AWAY_AFTER[at]
        write = number // len(SIZES) % 2 == 0
        sql = (insert(f"buyer{number}", b"saved", "save-quote", 5000, request) if write
               else select("rates", "history", 1500, request))
        await asyncio.to_thread(send_and_go, sql, request, SIZES[at])
        await asyncio.sleep(1.2)
    stop.set()
    await asyncio.gather(*usual)
    late = 0
    for request, times in attempts.items():
        for number, at in enumerate(times, 1):
            if request in closed_at and at > closed_at[request] + GONE:
                late += 1
                record.verdict(f"attempt {number} of {request} came {1000 * (at - closed_at[request]):.0f} ms after its client's close")
    record.verdict(f"clients that went: {len(closed_at)}, attempts for them after the {GONE} s: {late}; others served: {served}")
    if served < 20 or not any(request in attempts for request in closed_at):
        raise CannotRun("too little was served")
    return late > 0


main(case)
