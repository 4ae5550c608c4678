#!/usr/bin/env python3
"""Restarts map servers under load and measures how soon each says it is ready, and whether it can serve
then.

Use: bench/ready.py build/cressledge [--restarts 50] [--nodes 5] [--rate 400]

Stand-ins of the engine (a new one for each life, up after 0 to 2 s), the records service and the directory
on loopback; `--nodes` programs on the platform set-up run at a time, on whatever cores there are, and
callers send `--rate` requests a second to them, also while they are down. Each in turn is ended, by
SIGKILL and by SIGTERM alternately, and started again at its address. Time counts from the start of the
process to the first yes of GET /v1/readyz; the engine's own delay is taken off for a second column. At the
yes one request is sent on a connection of its own: it has to be served. Bounded in count and time.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from calls import Engine, directory, records  # noqa: E402 (found beside this file)

HOST = "127.0.0.1"


def free_port():
    with socket.create_server((HOST, 0)) as s:
        return s.getsockname()[1]


class LateEngine(Engine):
    """Accepts the link at once; HELLO waits until the engine is up."""

    def __init__(self, work, up_at):
        super().__init__(work)
        self.up_at = up_at

    async def serve(self, reader, writer):
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()))
        await super().serve(reader, writer)


async def http(port, request, bound):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), bound)
    try:
        writer.write(request)
        return await asyncio.wait_for(reader.read(), bound)
    finally:
        writer.close()


def post(dice):
    return (
        "POST /v1/read HTTP/1.1\r\nConnection: close\r\nTrace-Id: %016x\r\n"
        "Accepted-At-Ms: %d\r\nClient-No: 1\r\n"
        "Reserve-Kb: 10\r\nStanding: 0.5\r\nContent-Length: 1\r\n\r\nx"
        % (dice.getrandbits(64), time.time() * 1000)
    ).encode()


class Node:
    def __init__(self, binary, folder, number, lookup, recs):
        self.binary, self.number, self.port, self.control = binary, number, free_port(), free_port()
        self.engine, self.engine_port, self.process = None, free_port(), None
        self.path = os.path.join(folder, "n%d.json" % number)
        self.log = open(os.path.join(folder, "n%d.log" % number), "w")
        with open(self.path, "w") as f:
            json.dump(
                {
                    "name": "n%d" % number,
                    "seed": "7",
                    "stop_ms": 1500,
                    "listen": "%s:%d" % (HOST, self.port),
                    "control": "%s:%d" % (HOST, self.control),
                    "engine": "%s:%d" % (HOST, self.engine_port),
                    "records": recs,
                    "lookup": lookup,
                    "settings": {
                        "classes": [{"name": "read", "effect": "free", "deadline": 4000, "target": 2000}],
                        "domain": {"cores": 4, "memory-kb": 80000},
                    },
                },
                f,
            )

    async def start(self, delay):
        if self.engine is not None:
            self.engine.close()
        began = time.monotonic()
        self.engine = await asyncio.start_server(
            LateEngine(0.002, began + delay).serve, HOST, self.engine_port
        )
        self.process = subprocess.Popen(
            [self.binary],
            env=dict(os.environ, NODE_CONFIG=self.path),
            stdout=subprocess.DEVNULL,
            stderr=self.log,
        )
        return began

    async def ready(self, began):
        while time.monotonic() - began < 30.0:
            try:
                if (await http(self.control, b"GET /v1/readyz HTTP/1.1\r\nHost: n\r\n\r\n", 1.0)).startswith(
                    b"HTTP/1.1 200"
                ):
                    return time.monotonic() - began
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.01)
        return None

    async def end(self, sig):
        self.process.send_signal(sig)
        await asyncio.to_thread(self.process.wait, 10)


async def load(nodes, rate, counts, dice):
    async def one(port):
        try:
            answer = await http(port, post(dice), 5.0)
            status = answer[9:12].decode() or "no answer"
        except (OSError, asyncio.TimeoutError):
            status = "refused or broken"
        counts[status] = counts.get(status, 0) + 1

    tasks = set()
    while True:
        await asyncio.sleep(dice.expovariate(rate))
        if len(tasks) < 400:
            task = asyncio.create_task(one(dice.choice(nodes).port))
            tasks.add(task)
            task.add_done_callback(tasks.discard)


async def main():
    p = argparse.ArgumentParser()
    p.add_argument("binary")
    p.add_argument("--restarts", type=int, default=50)
    p.add_argument("--nodes", type=int, default=5)
    p.add_argument("--rate", type=float, default=400.0)
    args = p.parse_args()
    dice = random.Random(1)
    recs = await asyncio.start_server(records, HOST, 0)
    lookup = await asyncio.start_server(directory, HOST, 0)
    at = ["%s:%d" % (HOST, s.sockets[0].getsockname()[1]) for s in (lookup, recs)]
    took, beyond, served, counts = [], [], 0, {}
    with tempfile.TemporaryDirectory() as folder:
        nodes = [Node(args.binary, folder, n, *at) for n in range(args.nodes)]
        try:
            for n in nodes:
                began = await n.start(0.0)
                assert await n.ready(began) is not None, "not ready within 30 s"
            callers = asyncio.create_task(load(nodes, args.rate, counts, dice))
            for k in range(args.restarts):
                n = nodes[k % len(nodes)]
                await n.end(signal.SIGKILL if k % 2 == 0 else signal.SIGTERM)
                delay = dice.uniform(0.0, 2.0)
                began = await n.start(delay)
                ready = await n.ready(began)
                took.append(ready if ready is not None else 99.0)
                beyond.append(took[-1] - delay)
                if ready is not None:
                    served += (await http(n.port, post(dice), 5.0)).startswith(b"HTTP/1.1 200")
            callers.cancel()
        finally:
            for n in nodes:
                if n.process is not None and n.process.poll() is None:
                    n.process.kill()
                    n.process.wait()
    for name, all_ in (("from the start", took), ("beyond the engine's own delay", beyond)):
        all_.sort()
        print(
            "%-32s median %.3f s, nine in ten %.3f s, worst %.3f s"
            % (name, all_[len(all_) // 2], all_[len(all_) * 9 // 10 - 1], all_[-1])
        )
    print(
        "%d restarts: %d within 10 s, %d over 30 s; served at the first yes: %d"
        % (len(took), sum(t <= 10 for t in took), sum(t > 30 for t in took), served)
    )
    print("answers meanwhile: %s" % dict(sorted(counts.items())))


asyncio.run(main())
