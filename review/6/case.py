"""A keyed write with a long value is reset long after it was sent, while its quote server stands still for a moment."""
import asyncio
import pathlib
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from rig import (CLASSES, MS, READY, TROUBLE, Agent, CannotRun, Client, Pooler, QuoteServer, Store, comment, insert, main, new_id,
                 quoted_key, row, select, settings)

WINDOW = 3.0  # seconds for which the group drops a repeat of a key
STILL_FROM, RESET_AFTER = 2.86, 2.88  # seconds from the first byte of the first attempt
STILL_FOR = 0.33  # seconds for which the quote server stands still
VALUE = 4 * 1024 * 1024


async def case(record, folder, poolers):
    store, agent = Store(), Agent()
    first_sent, applied, late = {}, {}, []  # by idempotency key

    class Member(QuoteServer):
        still_until = 0

        def __init__(self, *arguments, **options):
            super().__init__(*arguments, **options)
            self.begun = {}  # by connection: when the first byte of its last message had come

        async def stand_still(self):
            while time.time() < self.still_until:
                await asyncio.sleep(self.still_until - time.time())

        async def serve(self, reader, writer):
            self.connections.add(writer)
            try:
                length = struct.unpack(">I", await reader.readexactly(4))[0]
                await reader.readexactly(length - 4)
                await self.stand_still()
                writer.write(b"R" + struct.pack(">II", 8, 0) + READY)
                while True:
                    header = await reader.readexactly(5)
                    self.begun[writer] = time.time()
                    body, left = [], struct.unpack(">I", header[1:])[0] - 4
                    while left:
                        await self.stand_still()
                        chunk = await reader.read(min(left, 65536))
                        if not chunk:
                            raise EOFError
                        body.append(chunk)
                        left -= len(chunk)
                    if header[:1] != b"Q":
                        return
                    await self.query(b"".join(body)[:-1].decode(), writer, writer.get_extra_info("peername")[1])
                    await self.stand_still()
                    await writer.drain()
            except (OSError, EOFError):
                pass
            finally:
                self.connections.discard(writer)
                self.begun.pop(writer, None)
                writer.close()

        async def request(self, sql, writer, peer):
            values = comment(sql)
            if not sql.startswith("INSERT"):
                return await super().request(sql, writer, peer)
            arrived, key = time.time(), values["k"]
            first = key not in first_sent
            first_sent.setdefault(key, arrived)
            since = arrived - first_sent[key]
            record(f"{self.name} has an attempt of {values['id']} k={key} whole, {since:.3f} s after the first one,"
                   f" {arrived - self.begun[writer]:.3f} s after its first byte, {len(sql)} bytes")
            if not first and since > WINDOW + 0.05:
                late.append(key)
            await asyncio.sleep(self.work_write)
            if first or since > WINDOW:
                applied[key] = applied.get(key, 0) + 1
                store.commit(quoted_key(sql), key.encode())
                record(f"{self.name} applies {values['id']} k={key}, for the {applied[key]}. time")
            else:
                record(f"{self.name} drops {values['id']} k={key}, a repeat")
            if first and TROUBLE and len(sql) > VALUE:
                await asyncio.sleep(self.begun[writer] + STILL_FROM - time.time())
                self.still_until = self.begun[writer] + STILL_FROM + STILL_FOR
                record(f"{self.name} stands still")
                await asyncio.sleep(self.begun[writer] + RESET_AFTER - time.time())
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                record(f"the connection of {values['id']} is reset")
                raise EOFError
            value = b"saved"
            writer.write(row(value, "INSERT 0 1") + self.status(int(time.time() * 1000 + 1) / 1000))

    servers = [Member(f"s-{i}", store, record, primary=i == 0) for i in range(5)]
    for server in servers:
        await server.start()
        agent.put(server.name, dial=server.dial, replication="primary" if server.primary else "standby")
    await agent.start()
    classes = [c if c[0] != "save-quote" else c[:7] + ("deduplicated",) for c in CLASSES]
    own = settings(classes)
    for each in own["request-classes"]:
        each["window-ns"] = int(WINDOW * 1000) * MS
    pooler = Pooler(agent, record, folder, pooler_settings=own)
    poolers.append(pooler)
    process = await pooler.spawn()
    await pooler.until_ready(process)
    stop = asyncio.Event()
    served = 0

    async def usual_client():
        nonlocal served
        client = await Client.connect(pooler.port)
        while not stop.is_set():
            state, _ = await client.ask(select("rates", "quote-check", 2000))
            served += state is None
            await asyncio.sleep(0.2)

    async def burst():
        """Now and then several reads come at once; their connections rest afterwards."""
        clients = [await Client.connect(pooler.port) for _ in range(8)]
        await asyncio.gather(*(client.ask(select("rates", "quote-check", 2000)) for client in clients))
        for client in clients:
            client.close()

    usual = [asyncio.create_task(usual_client()) for _ in range(3)]
    await asyncio.sleep(2)
    for number in range(5):
        await burst()
        client = await Client.connect(pooler.port)
        request, key = new_id(), new_id()
        sql = insert(f"buyer{number}", b"\x5a" * VALUE, "save-quote", 5000, request).replace(",cluster=", f",k={key},cluster=")
        state, _ = await client.ask(sql)
        record(f"client: save-quote {request} k={key} answered {state or 'with a row'}")
        client.close()
        await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*usual)
    twice = [key for key, count in applied.items() if count > 1]
    record.verdict(f"keyed writes: {len(applied)}, sent again after the window: {len(late)}, applied twice: {len(twice)}")
    if served < 10 or len(applied) < 5:
        raise CannotRun("too little was served")
    return bool(late)


main(case)
