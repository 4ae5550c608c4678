"""A small fleet whose engines move to another address, by SIGHUP: does a map-order run twice?"""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands-2"))
from platform_stands import Caller, Deployment, base_settings, request_class, run_case  # noqa: E402

MAP_SERVERS = 4
REQUESTS_PER_S = 12.0  # of each map server; all are map-orders
MOVE_EVERY_S = 3.0
PLAY_S = 60.0
# The engine writes each message in two pieces.
PIECE_GAP_S = 0.01


def make_deployment(record):
    classes = [request_class("map-order", "single_shot", 5.0, 3500.0, 12000.0)]
    return Fleet(
        [
            Deployment(record, base_settings(classes), speed=1.2, piece_gap=PIECE_GAP_S)
            for _ in range(MAP_SERVERS)
        ]
    )


class Fleet:
    def __init__(self, nodes):
        self.nodes = nodes

    async def stop(self):
        for node in self.nodes:
            await node.stop()


async def keep_asking(node, number, until):
    caller = Caller(node, number)
    arrivals = random.Random(number)
    asking = set()
    while time.monotonic() < until:
        task = asyncio.create_task(caller.ask("map-order", f"work={arrivals.randrange(250, 450)}"))
        asking.add(task)
        task.add_done_callback(asking.discard)
        await asyncio.sleep(arrivals.expovariate(REQUESTS_PER_S))
    if asking:
        await asyncio.wait(asking, timeout=12.0)


async def keep_moving(node, process, first, until):
    """The platform moves the address of the engine: a new configuration with SIGHUP."""
    await asyncio.sleep(first)
    address = 0
    while time.monotonic() < until:
        await asyncio.sleep(MOVE_EVERY_S)
        address = 1 - address
        node.write_config(engine_address=address)
        process.signal(signal.SIGHUP)


async def play(fleet, trouble):
    processes = [await node.start() for node in fleet.nodes]
    until = time.monotonic() + PLAY_S
    tasks = [keep_asking(node, number, until) for number, node in enumerate(fleet.nodes, start=1)]
    if trouble:
        tasks += [
            keep_moving(node, process, number * MOVE_EVERY_S / MAP_SERVERS, until)
            for number, (node, process) in enumerate(zip(fleet.nodes, processes))
        ]
    await asyncio.gather(*tasks)
    breaches = []
    for number, node in enumerate(fleet.nodes, start=1):
        counts = collections.Counter(name for _, name, _, _ in node.runs())
        for name, count in counts.items():
            if count > 1:
                times = [f"{at:.1f}" for at, run, _, _ in node.runs() if run == name]
                breaches.append(
                    f"duplicate: map-order {name} ran {count} times on server {number}, at {times}"
                )
    return breaches


run_case(FOLDER, make_deployment, play)
