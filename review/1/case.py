"""Bad servers, some of whose answers are followed at once by a second copy."""
import asyncio
import os
import random
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

COPIES = 1 / 30  # the share of answers with a second copy
DELAY_S = (0.0014, 0.0026)  # the one-way delay between the data centres: 2 ms, and a jitter of 0.3
TURNED_AWAY = 0.02  # the share of statements that a busy server turns away, never run
CLIENT_DELAY_S = (0.0005, 0.001)  # the same between the clients and the pooler
CLIENTS = 12
THINK_S = 0.04
RUN_SECONDS = 60


class Server(s.Server):
    copies = 0.0

    async def answer(self, writer, attrs, data):
        wire = self.wire(writer)
        wire.write(data)
        if random.random() < self.copies and not something_waits(writer):
            self.record(f"{self.name}: a second copy of the answer to {attrs['id']}")
            wire.write(data)

    def wire(self, writer):
        if not hasattr(writer, "wire"):
            writer.wire = s.Wire(writer, DELAY_S)
        return writer.wire

    async def run(self, writer, text):
        if random.random() < TURNED_AWAY:
            attrs = s.attributes(text)
            self.record(f"{self.name} turns away {attrs['id']}")
            await self.answer(writer, attrs, self.status() + s.error("53300", "queue full") + s.READY)
        else:
            await super().run(writer, text)


def something_waits(writer):
    """Whether a request has come on the connection that the server has not read yet."""
    try:
        return bool(writer.get_extra_info("socket")._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


async def case(record, trouble):
    Server.copies = COPIES if trouble else 0.0
    servers = [Server("s-1", record, primary=True, work_s=0.01), *(Server(f"s-{i}", record, work_s=0.01) for i in (2, 3))]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    site = s.Site(record, discovery)
    broken, counts = [], {}
    try:
        process = site.start()
        await site.until_ready(process)
        await asyncio.sleep(1)
        end = time.time() + RUN_SECONDS
        await asyncio.gather(*(client(record, site, broken, counts, end, i) for i in range(CLIENTS)))
        runs = {}
        for server in servers:
            for _, request_id, name, _ in server.ran:
                if name == "save-quote":
                    runs[request_id] = runs.get(request_id, 0) + 1
        broken += [f"save-quote {request_id} ran {count} times" for request_id, count in runs.items() if count > 1]
        if process.poll() is not None:
            broken.append(f"the pooler ended with {process.returncode}")
        record(f"requests: {counts}")
        print(counts)
        if not counts.get("served"):
            raise s.CannotRun("nothing was served")
    finally:
        site.close()
    return broken


async def client(record, site, broken, counts, end, number):
    """One request after the other on one connection, with a pause between them."""
    connection = await s.Client(site.port).connect()
    while time.time() < end:
        request_id = s.new_id()
        if random.random() < 0.2:
            text = s.insert(f"buyer{number}", "ab" * 40, request_id, "save-quote", 5000)
        else:
            text = s.select(f"buyer{number}", request_id, random.choice(["history", "rate-lookup", "my-quotes"]), 1000)
        try:
            await asyncio.sleep(random.uniform(*CLIENT_DELAY_S))
            answer = await asyncio.wait_for(connection.ask(text), 10)
            await asyncio.sleep(random.uniform(*CLIENT_DELAY_S))
            kind = answer.kind
            record(f"client {number} asked {request_id}: {answer}")
            if kind == "served" and not answer.value.startswith(f"value for {request_id} from ".encode()):
                kind = "foreign"
                broken.append(f"{request_id} was served what no server made for it: {answer.value.decode()}")
        except (asyncio.IncompleteReadError, ConnectionError):
            kind = "closed"
            record(f"client {number} asked {request_id}: connection closed")
            connection = await s.Client(site.port).connect()
        counts[kind] = counts.get(kind, 0) + 1
        await asyncio.sleep(random.random() * THINK_S)
    connection.close()


sys.exit(s.main(FOLDER, case))
