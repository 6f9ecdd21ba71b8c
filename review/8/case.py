"""Clients read long values slowly and send their next command meanwhile, while operators send the clients away."""
import asyncio
import pathlib
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import READY, TROUBLE, Agent, CannotRun, Pooler, QuoteServer, Store, cstr, main, message, new_id, select

LONG = 4 * 1024 * 1024  # bytes of a value
RATE = 1_500_000  # bytes a second that a client reads, in pieces
PIECES = 0.02  # seconds between two pieces
CLIENTS = 8
NEXT_COMMAND = [0.9 + 0.26 * i for i in range(CLIENTS)]  # seconds after the first command


async def case(record, folder, poolers):
    store, agent = Store(), Agent()
    servers = [QuoteServer(f"s-{i}", store, record, primary=i == 0) for i in range(5)]
    for server in servers:
        await server.start()
        agent.put(server.name, dial=server.dial, replication="primary" if server.primary else "standby")
    store.commits.append((0, "long", b"v" * LONG))
    await agent.start()
    pooler = Pooler(agent, record, folder)
    poolers.append(pooler)
    process = await pooler.spawn()
    await pooler.until_ready(process)
    whole, cut = [], []

    def client(number):
        with socket.create_connection(("127.0.0.1", pooler.port), timeout=10) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            body = struct.pack(">I", 196_608) + cstr("user") + cstr("portal") + cstr("database") + cstr("crm") + b"\0"
            connection.sendall(struct.pack(">I", len(body) + 4) + body)
            greeting = b""
            while not greeting.endswith(READY):
                greeting += connection.recv(4096)
            first, second, started = new_id(), new_id(), time.time()
            connection.sendall(message("Q", cstr(select("long", "history", 1500, first))))
            record(f"client {number}: sent history {first}, a value of {LONG} bytes")
            received, next_sent = bytearray(), False
            try:
                # the first answer is whole with its ReadyForQuery behind the value
                while len(received) <= LONG or READY not in received[LONG:]:
                    piece = connection.recv(int(RATE * PIECES))
                    if not piece:
                        raise EOFError("end of the stream")
                    received += piece
                    if not next_sent and time.time() > started + NEXT_COMMAND[number]:
                        next_sent = True
                        connection.sendall(message("Q", cstr(select("rates", "history", 1500, second))))
                        record(f"client {number}: sent its next command {second} after {len(received)} bytes")
                    time.sleep(PIECES)
                whole.append(number)
                record(f"client {number}: {first} is answered whole, {len(received)} bytes")
            except (OSError, EOFError) as e:
                cut.append(number)
                record.verdict(f"client {number}: the answer to {first} was cut off after {len(received)} of {LONG} bytes: {e}")

    clients = []
    for number in range(CLIENTS):
        clients.append(asyncio.create_task(asyncio.to_thread(client, number)))
    await asyncio.sleep(0.3)
    if TROUBLE:
        if await pooler.call(process, "PUT", "/api/evacuate") != 200:
            raise CannotRun("the order to evacuate was not taken")
        record("operators: clients are sent away")
    await asyncio.gather(*clients)
    broken = [line for line in (pathlib.Path(folder) / "pooler-0.log").read_text().splitlines() if "during a long answer" in line]
    record.verdict(f"long answers: {len(whole)} whole, {len(cut)} cut off by the pooler; all quote servers gave theirs whole")
    if not whole and not cut or broken:
        raise CannotRun("a quote server did not give its answer")
    return bool(cut)


main(case)
