#!/usr/bin/env python3
"""Counts the system calls of one map server on the platform: idle, then under a known number of requests.

Use: bench/calls.py build/cressledge [--idle 60] [--requests 2000] [--callers 4] [--work 0.002] [--preload
LIB.so]

Starts stand-ins of the engine, the records service and the directory on loopback, the program on the
platform set-up under `strace -f -c`, waits `--idle` seconds, sends `--requests` reads over `--callers`
kept connections, and prints the calls of each phase by name: the standing rate a second, and the cost a
request. --preload puts a library of one's own into the node (it gets CLOCKS_OUT, a file to write to at
exit), for what strace cannot see, such as clock reads. Bounded in count and time.
"""
import argparse
import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time

RUN = re.compile(rb"RUN (\S+) (\S+) (\d+)\r\n")


class Engine:
    """Answers ATTACH with HELLO and each RUN with DONE PASS after a short run."""

    def __init__(self, work):
        self.work, self.notice = work, 0

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                words = line.split()
                if words[0] == b"ATTACH":
                    writer.write(b"HELLO LOADED 60000\r\n")
                elif words[0] == b"RUN":
                    body = await reader.readexactly(int(words[3]) + 2)
                    asyncio.get_running_loop().call_later(self.work, self.done, writer, words[1], body[:-2])
                elif words[0] in (b"FEED",):
                    await reader.readexactly(int(words[2]) + 2)
                elif words[0] == b"STAT":
                    writer.write(b"STATS " + words[1] + b" 0 0 0 0\r\n")
                elif words[0] == b"TEST":
                    writer.write(b"TESTED " + words[1] + b" PASS\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            return

    def done(self, writer, ident, body):
        self.notice += 1
        result = b"map:" + body
        writer.write(b"DONE %d %s PASS 1.0 %d\r\n%s\r\n" % (self.notice, ident, len(result), result))


async def directory(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: *(\d+)", head)
            if length:
                await reader.readexactly(int(length.group(1)))
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
    except (ConnectionError, asyncio.IncompleteReadError):
        return


async def records(reader, writer):
    try:
        while True:
            words = (await reader.readline()).split()
            if not words:
                return
            if words[0] == b"OP":
                await reader.readexactly(int(words[3]) + 2)
                writer.write(words[1] + b" DONE 2\r\nok\r\n")
    except (ConnectionError, asyncio.IncompleteReadError):
        return


async def caller(port, count, number, answers):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    rng = random.Random(number)
    for _ in range(count):
        body = b"x" * 64
        head = (
            "POST /v1/trail-sheet HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: %016x\r\nAccepted-At-Ms: %d\r\n"
            "Client-No: %d\r\nReserve-Kb: 10\r\nStanding: 0.5\r\nLookup-Key: %016x\r\n"
            "Content-Length: %d\r\n\r\n"
            % (rng.getrandbits(64), int(time.time() * 1000), number, rng.getrandbits(64), len(body))
        )
        writer.write(head.encode() + body)
        status = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: *(\d+)", status)
        if length:
            await reader.readexactly(int(length.group(1)))
        answers[status.split()[1].decode()] = answers.get(status.split()[1].decode(), 0) + 1
    writer.close()


def counts(path):
    """The calls by name in an strace -c summary."""
    out = {}
    for line in open(path):
        parts = line.split()
        if len(parts) >= 5 and parts[-1] not in ("total", "syscall") and parts[0][0].isdigit():
            out[parts[-1]] = int(parts[3])
    return out


async def main():
    p = argparse.ArgumentParser()
    p.add_argument("binary")
    p.add_argument("--idle", type=float, default=60.0)
    p.add_argument("--requests", type=int, default=2000)
    p.add_argument("--callers", type=int, default=4)
    p.add_argument("--work", type=float, default=0.002)
    p.add_argument("--preload", default="")
    args = p.parse_args()
    servers = [
        await asyncio.start_server(Engine(args.work).serve, "127.0.0.1", 0),
        await asyncio.start_server(records, "127.0.0.1", 0),
        await asyncio.start_server(directory, "127.0.0.1", 0),
    ]
    engine, recs, lookup = ("127.0.0.1:%d" % s.sockets[0].getsockname()[1] for s in servers)
    folder = tempfile.mkdtemp()
    port = 20000 + os.getpid() % 20000
    config = {
        "name": "n1",
        "seed": "7",
        "stop_ms": 3000,
        "listen": "127.0.0.1:%d" % port,
        "engine": engine,
        "records": recs,
        "lookup": lookup,
        "settings": {
            "classes": [{"name": "trail-sheet", "effect": "free", "deadline": 4000, "target": 2000}],
            "domain": {"cores": 4, "memory-kb": 80000},
        },
    }
    with open(os.path.join(folder, "node.json"), "w") as f:
        json.dump(config, f)
    phases = {}
    for phase, idle, requests in (("idle", args.idle, 0), ("load", 1.0, args.requests)):
        trace = os.path.join(folder, phase + ".strace")
        env = dict(os.environ, NODE_CONFIG=os.path.join(folder, "node.json"))
        if args.preload:  # a library of one's own that counts what strace cannot see, such as clock reads
            env.update(LD_PRELOAD=args.preload, CLOCKS_OUT=trace + ".clocks")
        log = open(trace + ".log", "w")
        node = subprocess.Popen([args.binary], env=env, stdout=subprocess.DEVNULL, stderr=log)
        for _ in range(200):  # until it listens
            try:
                _, w = await asyncio.open_connection("127.0.0.1", port)
                w.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)  # engine attached, first report made
        tracer = subprocess.Popen(
            ["strace", "-f", "-c", "-o", trace, "-p", str(node.pid)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        await asyncio.sleep(0.5)  # attached
        start = time.monotonic()
        await asyncio.sleep(idle)
        answers = {}
        if requests:
            each = requests // args.callers
            await asyncio.wait_for(
                asyncio.gather(*(caller(port, each, n, answers) for n in range(args.callers))), 120
            )
        seconds = time.monotonic() - start
        node.send_signal(signal.SIGINT)
        try:
            node.wait(10)
        except subprocess.TimeoutExpired:
            node.kill()
            node.wait()
        tracer.wait(10)
        phases[phase] = (counts(trace), seconds, sum(answers.values()), answers)
        wakes = [line.strip() for line in open(trace + ".log") if "timer wakes" in line]
        print(phase, "%.1f s," % seconds, wakes[-1] if wakes else "no count of wakes")
        if args.preload and os.path.exists(trace + ".clocks"):
            print(phase, "%.1f s" % seconds, open(trace + ".clocks").read().strip())
    idle_calls, idle_s, _, _ = phases["idle"]
    load_calls, load_s, served, answers = phases["load"]
    print("answers under load: %s" % answers)
    print("%-20s %12s %12s %14s" % ("call", "idle/s", "load total", "per request"))
    names = sorted(set(idle_calls) | set(load_calls), key=lambda n: -load_calls.get(n, 0))
    total_idle = total_request = 0.0
    for n in names:
        rate = idle_calls.get(n, 0) / idle_s
        per = (load_calls.get(n, 0) - rate * load_s) / max(served, 1)
        total_idle += rate
        total_request += per
        print("%-20s %12.2f %12d %14.2f" % (n, rate, load_calls.get(n, 0), per))
    print("%-20s %12.2f %12s %14.2f" % ("all", total_idle, "", total_request))


if __name__ == "__main__":
    if subprocess.call(["which", "strace"], stdout=subprocess.DEVNULL) != 0:
        sys.exit("strace is needed: apt-get install strace")
    asyncio.run(main())
