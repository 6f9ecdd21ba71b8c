"""Operators send the clients of a pooler away while clients have many commands on their way."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import TROUBLE, Agent, CannotRun, Client, Pooler, QuoteServer, Store, main, new_id, select

BURST = 8  # commands that a client sends at once; it sends as many again when half of them are answered
GRACE, LATELY = 4.0, 2.0  # seconds after the order; "a request from the last 2 s"
SLACK = 0.05


async def case(record, folder, poolers):
    store, agent = Store(), Agent()
    servers = [QuoteServer(f"s-{i}", store, record, primary=i == 0) for i in range(5)]
    for server in servers:
        await server.start()
        agent.put(server.name, dial=server.dial, replication="primary" if server.primary else "standby")
    await agent.start()
    pooler = Pooler(agent, record, folder)
    poolers.append(pooler)
    process = await pooler.spawn()
    await pooler.until_ready(process)
    counts = {"served": 0, "refused or failed": 0}
    ordered_at = None
    held = {}  # by client: how long after the order its connection was last seen open, with a request from the last 2 s
    stop = asyncio.Event()

    async def client(number):
        """Sends commands on one connection for as long as it stays open."""
        connection = await Client.connect(pooler.port)
        sent = []

        def send(commands):
            for _ in range(commands):
                request = new_id()
                connection.send(select(f"rates{number}", "history", 1500, request))
                sent.append((request, time.time()))
            record(f"client {number}: sent {commands} commands at once")

        try:
            send(BURST if TROUBLE else 1)
            while not stop.is_set():
                state, _ = await connection.answer()
                request, at = sent.pop(0)
                counts["served" if state is None else "refused or failed"] += 1
                record(f"client {number}: {request} answered {state or 'with a row'}, {len(sent)} on their way")
                now = time.time()
                if ordered_at and now > ordered_at + GRACE + SLACK and sent and now - sent[-1][1] < LATELY:
                    held[number] = now - ordered_at
                if TROUBLE and len(sent) <= BURST // 2:
                    send(BURST // 2)
                elif not sent:
                    await asyncio.sleep(0.05)
                    send(1)
            record(f"client {number}: ends")
        except (OSError, EOFError):
            record(f"client {number}: connection closed by the pooler, {len(sent)} commands unanswered")
        connection.close()

    clients = [asyncio.create_task(client(i)) for i in range(4)]
    await asyncio.sleep(4)
    if await pooler.call(process, "PUT", "/api/evacuate") != 200:
        raise CannotRun("the order to evacuate was not taken")
    ordered_at = time.time()
    record("operators: clients are sent away")
    await asyncio.sleep(12)
    stop.set()
    await asyncio.gather(*clients)
    for number, seconds in sorted(held.items()):
        record.verdict(f"client {number} still had its connection {seconds:.1f} s after the order, with a request from the last 2 s")
    record.verdict(f"{counts}, connections held after the grace: {len(held)} of 4")
    if counts["served"] < 10:
        raise CannotRun("too little was served")
    return bool(held)


main(case)
