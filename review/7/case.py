"""A primary dies while replicas lag, another member takes over, and a new version of the pooler starts."""
import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import TROUBLE, Agent, CannotRun, Client, Pooler, QuoteServer, Store, insert, main, new_id, select

DEAD, TAKEN_OVER, ROLE_LATE = 1.5, 4.0, 4.9  # seconds: down; from the death to the new primary; from that to the list's word
KNOWN_AFTER = 0.15  # an answer counts as known 0.1 s after it was written, and every time limit is 0.05 s longer
KEYS = [f"buyer{i:02d}{new_id()}" for i in range(4)]


async def case(record, folder, poolers):
    store, agent = Store(), Agent()
    told = []  # when s-2, the first primary, has told the pooler that it is a standby

    class Member(QuoteServer):
        def told(self, writer, what):
            if self is first and not self.primary and not writer.is_closing():
                told.append(time.time())
                if len(told) == 1:
                    record(f"{self.name} tells the pooler that it is a standby: {what}")

    servers = [Member(f"s-{i}", store, record, primary=i == 2) for i in range(5)]
    first, second = servers[2], servers[3]
    for server in servers:
        await server.start()
        agent.put(server.name, dial=server.dial, replication="primary" if server.primary else "standby")
    await agent.start()
    pooler = Pooler(agent, record, folder)
    poolers.append(pooler)
    old = await pooler.spawn()
    await pooler.until_ready(old)

    stop = asyncio.Event()
    stale, excused = [], []
    counts = {"served": 0, "refused or failed": 0, "turned back": 0}
    acknowledged, written, busy = {}, {}, set()

    async def ask(sql, what):
        try:
            client = await Client.connect(pooler.port)
        except (OSError, EOFError):
            counts["turned back"] += 1
            return "none", None
        try:
            state, value = await client.ask(sql)
            record(f"client: {what} answered {state or value.decode()}")
            counts["served" if state is None else "refused or failed"] += 1
            return state, value
        except (OSError, EOFError):
            counts["turned back"] += 1
            return "none", None
        finally:
            client.close()

    async def writer():
        while not stop.is_set():
            await asyncio.sleep(random.uniform(0.1, 0.3))
            key = random.choice([k for k in KEYS if k not in busy])
            busy.add(key)
            written[key] = written.get(key, 0) + 1
            request = new_id()
            state, _ = await ask(insert(key, b"v%d" % written[key], "save-quote", 2000, request), f"save-quote {request} {key}=v{written[key]}")
            if state is None:
                acknowledged[key] = written[key]
            busy.discard(key)

    async def reader():
        while not stop.is_set():
            await asyncio.sleep(random.uniform(0.02, 0.1))
            if acknowledged:
                key, request, sent = random.choice(list(acknowledged)), new_id(), time.time()
                least = acknowledged[key]
                state, value = await ask(select(key, "quote-check", 2000, request), f"quote-check {request} {key} (at least v{least})")
                if state is None and (value == b"none" or int(value[1:]) < least):
                    late = bool(told) and sent > told[0] + KNOWN_AFTER
                    (stale if late else excused).append(request)
                    record(f"STALE: quote-check {request} was answered {value.decode()} although v{least} had been acknowledged"
                           + ("" if late else "; excused, the pooler had not been told"))

    clients = [asyncio.create_task(writer()) for _ in range(3)] + [asyncio.create_task(reader()) for _ in range(20)]
    await asyncio.sleep(3)
    taken_over = time.time() + TAKEN_OVER
    if TROUBLE:
        record("s-2, the primary, dies")
        first.crash()
        first.primary = False
        await asyncio.sleep(DEAD)
        await first.start()
        agent.put(first.name, born_ms=int(time.time() * 1000))  # the list's word on roles comes late
        record("s-2 is back, as a standby")
        await asyncio.sleep(taken_over - time.time())
        for server in servers:
            server.slow_from = time.time()
        second.primary = True
        record("s-3 takes over; the others apply the log slowly")
    else:
        await asyncio.sleep(taken_over - time.time())
    await asyncio.sleep(1.8)
    if TROUBLE and not (told and told[0] + KNOWN_AFTER < time.time()):
        raise CannotRun("the old process has not heard from s-2")
    new = await pooler.spawn()
    ready = asyncio.create_task(pooler.until_ready(new))
    await asyncio.sleep(taken_over + ROLE_LATE - time.time())
    if TROUBLE:
        agent.put(first.name, replication="standby")
        agent.put(second.name, replication="primary")
        record("the list names s-3 as the primary")
    await ready
    pooler.signal(old, signal.SIGTERM)
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*clients)
    record.verdict(f"{counts}, stale reads: {len(excused)} excused, {len(stale)} not excused")
    if counts["served"] < 100:
        raise CannotRun("too little was served")
    return bool(stale)


main(case)
