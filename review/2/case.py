"""Requests of ordinary length beside clients that write values of 4 MiB slowly."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins as s  # noqa: E402

BULK_CLIENTS = 6
BULK_BYTES = 4 << 20  # the longest value that the pages name
BULK_SECONDS = 10  # the time in which one of them is written, in pieces
STAGGER_S = 0.5  # between the beginnings of two of them
PIECES = 100  # one every 0.1 s: no pause comes near the 2 s that a client may take
QUOTE_BYTES = 8 << 10  # an ordinary value
RUN_SECONDS = 25
# the time of a request counts from its last byte; its answer is lost later than 0.5 s after it, and limits on sockets are
# longer by 50 ms
LATE_S = 0.5 + 0.05
GONE_S = 0.1 + 0.05  # an attempt that begins more than 0.1 s after the client's close is a break as well


async def case(record, trouble):
    primary = s.Server("s-1", record, primary=True)
    replicas = [s.Server(f"s-{i}", record) for i in (2, 3)]
    for server in [primary, *replicas]:
        await server.start()
    discovery = s.Discovery(record, [server.entry() for server in [primary, *replicas]])
    await discovery.start()
    site = s.Site(record, discovery)
    broken = []
    counts = {}
    waits = [0.0]
    gone = {}  # when the client of a request closed its connection
    try:
        process = site.start()
        await site.until_ready(process)
        await asyncio.sleep(1)
        end = time.time() + RUN_SECONDS
        tasks = [asyncio.create_task(bulk(record, site, i, trouble)) for i in range(BULK_CLIENTS)]
        asked = []
        while time.time() < end:
            asked.append(asyncio.create_task(quote(record, site, broken, counts, waits, gone)))
            asked.append(asyncio.create_task(short_read(record, site, counts)))
            await asyncio.sleep(0.25)
        await asyncio.gather(*asked)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for began, request_id, _, _ in primary.ran:
            if request_id in gone and began > gone[request_id] + GONE_S:
                broken.append(f"save-quote {request_id} was sent to its server {began - gone[request_id]:.2f} s after its client had "
                              "closed the connection")
        if process.poll() is not None:
            broken.append(f"the pooler ended with {process.returncode}")
        record(f"ordinary requests: {counts}, the slowest answer after {max(waits):.3f} s")
        print(counts)
        if not counts.get("save-quote served"):
            raise s.CannotRun("no quote was saved")
    finally:
        site.close()
    return broken


async def bulk(record, site, number, trouble):
    """Writes one value of 4 MiB, slowly or at once, and reads its answer."""
    await asyncio.sleep(2 + STAGGER_S * number)
    client = await s.Client(site.port).connect()
    request_id = s.new_id()
    data = s.query(s.insert(f"bulk{number}", "ab" * BULK_BYTES, request_id, "save-quote", 5000))
    record(f"bulk client {number} begins {request_id}, {len(data)} bytes")
    size = len(data) // PIECES + 1
    for at in range(0, len(data), size):
        client.writer.write(data[at:at + size])
        await client.writer.drain()
        if trouble:
            await asyncio.sleep(BULK_SECONDS / PIECES)
    record(f"bulk client {number} has written {request_id}")
    answer = await client.read_answer()
    record(f"bulk client {number} got {answer}")
    client.close()


async def quote(record, site, broken, counts, waits, gone):
    """Saves an ordinary quote; waits for the answer until it is certainly lost."""
    d = random.randrange(2000, 5001)  # 40 to 100 % of the class's give-up time
    client = await s.Client(site.port).connect()
    request_id = s.new_id()
    record(f"sent {request_id} c=save-quote d={d}")
    client.writer.write(s.query(s.insert("buyer" + request_id, "cd" * QUOTE_BYTES, request_id, "save-quote", d)))
    await client.writer.drain()
    sent = time.time()
    try:
        answer = await asyncio.wait_for(client.read_answer(), d / 1000 + LATE_S)
        text = answer.kind
        waits.append(time.time() - sent)
        record(f"answered {request_id} {answer} after {time.time() - sent:.3f} s")
    except asyncio.TimeoutError:
        text = "no answer"
        record(f"not answered {request_id} within d={d} ms and {LATE_S} s")
        broken.append(f"save-quote {request_id}: no final answer {LATE_S} s after its time of {d} ms")
    except (asyncio.IncompleteReadError, ConnectionError):
        text = "closed"
        broken.append(f"save-quote {request_id}: connection closed with no answer")
    counts["save-quote " + text] = counts.get("save-quote " + text, 0) + 1
    client.close()
    gone[request_id] = time.time()


async def short_read(record, site, counts):
    client = await s.Client(site.port).connect()
    request_id = s.new_id()
    try:
        answer = await asyncio.wait_for(client.ask(s.select("buyer", request_id, "history", 1500)), 2.05)
        text = answer.kind
    except asyncio.TimeoutError:
        text = "no answer"
    record(f"history {request_id}: {text}")
    counts["history " + text] = counts.get("history " + text, 0) + 1
    client.close()


sys.exit(s.main(FOLDER, case))
