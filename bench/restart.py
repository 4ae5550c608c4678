#!/usr/bin/env python3
"""Restart experiment: the first 10 s of a cold start against one with restored knowledge, right and wrong
by 4 times.

Use: bench/restart.py build/cressledge [REPEATS]

Stand-ins of four cores work for each of four programs at the same moment, under the same requests at about
120% of what the cores do. Knowledge comes from earlier lives: one on the same stand-in, one on a stand-in
four times slower, one on one four times faster. Prints served worth (of the worth asked for) and refusals.
Loopback only; ends by itself.
"""
import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile

CORES, SECONDS, WARM = 4, 10.0, 12.0
KINDS = {"trail-sheet": (0.10, 1, 2.9), "route-profile": (0.03, 2, 1.5)}  # work in seconds, worth, target
SHARE = {"trail-sheet": 0.5, "route-profile": 0.5}
LOAD = 1.2


class StandIn:
    def __init__(self, factor):
        self.factor, self.cores = factor, asyncio.Semaphore(CORES)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            kind = head.split(b" ", 2)[1].rpartition(b"/")[2].decode()
            async with self.cores:
                await asyncio.sleep(KINDS[kind][0] * self.factor)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nmap")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as s:
        return s.getsockname()[1]


async def life(binary, folder, state, factor, seconds, seed):
    """One life of the program: served worth, asked worth, refusals, requests."""
    server = await asyncio.start_server(StandIn(factor).serve, "127.0.0.1", 0)
    port, name = free_port(), "%s-%s-%d" % (state or "cold", factor, seed)
    with open(os.path.join(folder, name + ".csv"), "w") as f:
        f.write(
            "name,address,protocol,group\nup,127.0.0.1:%d,http,maps\n" % server.sockets[0].getsockname()[1]
        )
    path = os.path.join(folder, name + ".yaml")
    with open(path, "w") as f:
        f.write(
            "listen: {http: 127.0.0.1:%d}\ninventory: %s.csv\ncores: %d\nclasses:\n" % (port, name, CORES)
        )
        for kind, (_, worth, target) in KINDS.items():
            f.write(
                "  - {name: %s, effect: safe, worth: %d, late_worth: 0.2, target_ms: %d, deadline_ms: %d}\n"
                % (kind, worth, target * 1000, target * 3000)
            )
        if state:
            f.write("learning: {folder: %s, node: n1, period_s: 1}\n" % state)
    log = open(os.path.join(folder, name + ".log"), "w")
    program = subprocess.Popen([binary, "serve", "--operator", path], stderr=log)
    got = {"worth": 0.0, "asked": 0.0, "refused": 0, "all": 0}

    async def ask(kind):
        work, worth, target = KINDS[kind]
        got["all"] += 1
        got["asked"] += worth
        from_ = asyncio.get_running_loop().time()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                ("POST /v1/%s HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx" % kind).encode()
            )
            answer = await asyncio.wait_for(reader.read(), 20)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return
        took = asyncio.get_running_loop().time() - from_
        got["refused"] += answer.startswith(b"HTTP/1.1 503")
        if answer.startswith(b"HTTP/1.1 200"):
            got["worth"] += worth if took <= target else 0.2 * worth

    try:
        for _ in range(100):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        dice = random.Random(seed)
        mean = sum(SHARE[k] * KINDS[k][0] for k in KINDS)
        rate, clock = LOAD * CORES / mean, asyncio.get_running_loop()
        start, at, tasks = clock.time(), 0.0, []
        while at < seconds:
            at += dice.expovariate(rate / (factor if state in ("slow", "fast") else 1.0))
            kind = "trail-sheet" if dice.random() < SHARE["trail-sheet"] else "route-profile"
            await asyncio.sleep(max(0.0, start + at - clock.time()))
            tasks.append(asyncio.create_task(ask(kind)))
        await asyncio.gather(*tasks)
    finally:
        program.send_signal(signal.SIGTERM)
        await asyncio.to_thread(program.wait, 10)
        server.close()
        log.close()
    return got


async def main():
    binary, repeats = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 3
    rows = {
        "cold": (None, []),
        "restored": ("right", []),
        "4x too dear": ("slow", []),
        "4x too cheap": ("fast", []),
    }
    for seed in range(1, repeats + 1):
        with tempfile.TemporaryDirectory() as folder:
            await asyncio.gather(
                *(
                    life(binary, folder, s, f, WARM, 100 + seed)
                    for s, f in (("right", 1.0), ("slow", 4.0), ("fast", 0.25))
                )
            )
            for s in ("right", "slow", "fast"):  # each life is told its state by a name of its own
                os.rename(os.path.join(folder, s), os.path.join(folder, s + "-kept"))
            done = await asyncio.gather(
                *(
                    life(binary, folder, state and state + "-kept", 1.0, SECONDS, seed)
                    for state, _ in rows.values()
                )
            )
            for (_, all_), got in zip(rows.values(), done):
                all_.append(got)
    print("start         served worth  refused  requests   (first %d s, %d repeats)" % (SECONDS, repeats))
    for name, (_, all_) in rows.items():
        total = {k: sum(g[k] for g in all_) for k in all_[0]}
        print(
            "%-13s %11.3f  %7d  %8d" % (name, total["worth"] / total["asked"], total["refused"], total["all"])
        )


if __name__ == "__main__":
    asyncio.run(main())
