"""After a quiet time a primary has been replaced, and says so for the first time behind a long value."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import TROUBLE, Agent, CannotRun, Client, Pooler, QuoteServer, Store, main, new_id, select

SILENT = 12.5  # seconds for which the primary is silent
TAKEN_OVER, ROLE_LATE = 4.0, 3.0  # seconds from the silence to the new primary, and from that to the list's word
KNOWN_AFTER = 0.1 + 0.05  # what an answer tells counts as known
LONG = 100_000  # bytes of a value


async def case(record, folder, poolers):
    store, agent = Store(), Agent()
    told = []

    class Member(QuoteServer):
        silent = None

        async def query(self, sql, writer, peer):
            if self.silent:
                await self.silent.wait()
            await super().query(sql, writer, peer)

        def told(self, writer, what):
            if self is first and not self.primary and not writer.is_closing():
                told.append(time.time())
                record(f"{self.name} tells the pooler that it is a standby: {what}")

    servers = [Member(f"s-{i}", store, record, primary=i == 2) for i in range(5)]
    first, second = servers[2], servers[3]
    for server in servers:
        await server.start()
        agent.put(server.name, dial=server.dial, replication="primary" if server.primary else "standby")
    await agent.start()
    pooler = Pooler(agent, record, folder)
    poolers.append(pooler)
    process = await pooler.spawn()
    await pooler.until_ready(process)
    version = 0
    stale, served = [], 0

    def other_pooler_writes():
        """A client of another pooler saves a value, and has its answer."""
        nonlocal version
        version += 1
        at = store.commit("rates", b"v%06d" % version + b"." * LONG)
        record(f"another pooler's client has saved v{version} at {'s-3' if second.primary else 's-2'}, commit {at:.3f}")

    async def read():
        nonlocal served
        least, request = version, new_id()
        client = await Client.connect(pooler.port)
        sent = time.time()
        state, value = await client.ask(select("rates", "quote-check", 2000, request))
        client.close()
        if state is None:
            served += 1
            got = int(value[1:7]) if value != b"none" else 0
            record(f"client: quote-check {request} answered v{got} with {len(value)} bytes, v{least} had been saved")
            if got < least:
                late = bool(told) and sent > told[0] + KNOWN_AFTER
                if late:
                    stale.append(request)
                record(f"STALE: quote-check {request}" + ("" if late else "; excused, the pooler had not been told"))
        else:
            record(f"client: quote-check {request} answered {state}")

    async def reads(seconds):
        end = time.time() + seconds
        while time.time() < end:
            other_pooler_writes()
            await asyncio.sleep(0.05)
            await read()
            await asyncio.sleep(0.35)

    await reads(5)
    record("clients are quiet")
    if TROUBLE:
        first.silent, back_at = asyncio.Event(), time.time() + SILENT
        record("s-2, the primary, is silent")
        await asyncio.sleep(TAKEN_OVER)
        first.primary, second.primary = False, True
        first.slow_from = time.time()
        record("s-3 takes over")
        await asyncio.sleep(ROLE_LATE)
        agent.put(first.name, replication="standby")
        agent.put(second.name, replication="primary")
        record("the list names s-3 as the primary")
        await asyncio.sleep(back_at - time.time())
        first.silent.set()
        first.silent = None
        record("s-2 is back, behind")
    else:
        await asyncio.sleep(SILENT)
    await asyncio.sleep(0.5)
    await reads(6)
    record.verdict(f"served: {served}, stale reads that nothing excuses: {len(stale)}")
    if served < 10:
        raise CannotRun("too little was served")
    return bool(stale)


main(case)
