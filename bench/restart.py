#!/usr/bin/env python3
"""Restart experiment: the first 10 s of a cold start against one with restored state, right and wrong by 4
times.

Use: bench/restart.py build/cressledge [REPEATS]

Fake upstreams of four cores work for each of four programs at the same moment, under the same requests at
about 120% of what the cores do. The state comes from earlier runs: one on the same upstream, one on an
upstream four times slower, one on one four times faster. Prints the served priority weight (as a fraction
of that requested), rejections and requests. Loopback only; ends by itself.
"""
import asyncio
import os
import random
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass

from fakes import HOST, FakeUpstream, free_port, port_of, wait_until_listening

CORES = 4
MEASURED_S = 10.0
LEARNING_S = 12.0
OFFERED_LOAD = 1.2  # of what the cores do
DEFAULT_REPEATS = 3
LISTEN_TIMEOUT_S = 5.0
REQUEST_TIMEOUT_S = 20
EXIT_TIMEOUT_S = 10
LATE_WEIGHT_FACTOR = 0.2


@dataclass(frozen=True)
class RequestClass:
    """Work in seconds, priority weight, latency objective in seconds, fraction of the requests."""

    work: float
    weight: int
    objective: float
    fraction: float


CLASSES = {
    "trail-sheet": RequestClass(0.10, 1, 2.9, 0.5),
    "route-profile": RequestClass(0.03, 2, 1.5, 0.5),
}
MEAN_WORK_S = sum(c.fraction * c.work for c in CLASSES.values())

# Upstream slowness in the run that a state was learned in, by the name of the state.
LEARNING_FACTORS = {"right": 1.0, "slow": 4.0, "fast": 0.25}
# The state that a measured run restores, by the row's label; None: it starts cold.
ROWS = {"cold": None, "restored": "right", "4x too dear": "slow", "4x too cheap": "fast"}


@dataclass
class Totals:
    """What became of the requests of one run or more."""

    served_weight: float = 0.0
    requested_weight: float = 0.0
    rejected: int = 0
    requests: int = 0

    def add(self, other):
        """Adds the totals of another run."""
        self.served_weight += other.served_weight
        self.requested_weight += other.requested_weight
        self.rejected += other.rejected
        self.requests += other.requests


def write_config(folder, name, port, upstream_port, state):
    """Writes the inventory and the operator's file; returns the path of the latter."""
    with open(os.path.join(folder, name + ".csv"), "w") as file:
        file.write("name,address,protocol,group\nup,%s:%d,http,maps\n" % (HOST, upstream_port))
    path = os.path.join(folder, name + ".yaml")
    with open(path, "w") as file:
        file.write(
            "listen: {http: %s:%d}\ninventory: %s.csv\ncores: %d\nclasses:\n" % (HOST, port, name, CORES)
        )
        for class_name, c in CLASSES.items():
            file.write(
                "  - {name: %s, effect: safe, worth: %d, late_worth: %s, target_ms: %d, deadline_ms: %d}\n"
                % (class_name, c.weight, LATE_WEIGHT_FACTOR, c.objective * 1000, c.objective * 3000)
            )
        if state:
            file.write("learning: {folder: %s, node: n1, period_s: 1}\n" % state)
    return path


async def send_request(port, class_name, totals):
    """Sends one request and counts what became of it."""
    request_class = CLASSES[class_name]
    totals.requests += 1
    totals.requested_weight += request_class.weight
    clock = asyncio.get_running_loop()
    start = clock.time()
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            ("POST /v1/%s HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx" % class_name).encode()
        )
        answer = await asyncio.wait_for(reader.read(), REQUEST_TIMEOUT_S)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return
    is_late = clock.time() - start > request_class.objective
    totals.rejected += answer.startswith(b"HTTP/1.1 503")
    if answer.startswith(b"HTTP/1.1 200"):
        totals.served_weight += request_class.weight * (LATE_WEIGHT_FACTOR if is_late else 1.0)


async def send_load(port, seconds, rate, seed, totals):
    """Sends requests as an open loop (Poisson) for so many seconds, and waits for their answers."""
    dice = random.Random(seed)
    clock = asyncio.get_running_loop()
    start = clock.time()
    offset = 0.0
    tasks = []
    while offset < seconds:
        offset += dice.expovariate(rate)
        is_first_class = dice.random() < CLASSES["trail-sheet"].fraction
        class_name = "trail-sheet" if is_first_class else "route-profile"
        await asyncio.sleep(max(0.0, start + offset - clock.time()))
        tasks.append(asyncio.create_task(send_request(port, class_name, totals)))
    await asyncio.gather(*tasks)


async def run_program(binary, folder, state, factor, seconds, seed):
    """Runs the program once under load.

    `state`: its folder of learned state, or None. `factor`: slowness of its upstream; the load of a run that
    learns a wrong state is lower by it.
    """
    work_by_class = {name: c.work * factor for name, c in CLASSES.items()}
    upstream = await asyncio.start_server(FakeUpstream(CORES, work_by_class).serve, HOST, 0)
    port = free_port()
    name = "%s-%s-%d" % (state or "cold", factor, seed)
    path = write_config(folder, name, port, port_of(upstream), state)
    rate = OFFERED_LOAD * CORES / MEAN_WORK_S
    if state in ("slow", "fast"):
        rate /= factor
    totals = Totals()
    with open(os.path.join(folder, name + ".log"), "w") as log:
        program = subprocess.Popen([binary, "serve", "--operator", path], stderr=log)
        try:
            await wait_until_listening(port, LISTEN_TIMEOUT_S)
            await send_load(port, seconds, rate, seed, totals)
        finally:
            program.send_signal(signal.SIGTERM)
            await asyncio.to_thread(program.wait, EXIT_TIMEOUT_S)
            upstream.close()
    return totals


async def learn_states(binary, folder, seed):
    """Has the program learn each of the states, at the same moment."""
    await asyncio.gather(
        *(
            run_program(binary, folder, state, factor, LEARNING_S, seed)
            for state, factor in LEARNING_FACTORS.items()
        )
    )
    # Measured runs restore a state under a name of its own, which does not lower their load.
    for state in LEARNING_FACTORS:
        os.rename(os.path.join(folder, state), os.path.join(folder, state + "-kept"))


async def main():
    """Learns, measures and prints, as often as asked."""
    binary = sys.argv[1]
    repeats = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_REPEATS
    totals_by_row = {label: Totals() for label in ROWS}
    for seed in range(1, repeats + 1):
        with tempfile.TemporaryDirectory() as folder:
            await learn_states(binary, folder, 100 + seed)
            results = await asyncio.gather(
                *(
                    run_program(binary, folder, state and state + "-kept", 1.0, MEASURED_S, seed)
                    for state in ROWS.values()
                )
            )
            for label, totals in zip(ROWS, results):
                totals_by_row[label].add(totals)
    print("start         served worth  refused  requests   (first %d s, %d repeats)" % (MEASURED_S, repeats))
    for label, totals in totals_by_row.items():
        served = totals.served_weight / totals.requested_weight
        print("%-13s %11.3f  %7d  %8d" % (label, served, totals.rejected, totals.requests))


if __name__ == "__main__":
    asyncio.run(main())
