#!/usr/bin/env python3
"""Kills a program under load at 200 seeded moments, and checks what each start finds.

Use: bench/kill.py build/cressledge [COUNT]

Each run of the program saves its learned state ten times a second. After each SIGKILL the stored state has
to be complete: the one before or a later one, by its generation and time of saving; and the next run has to
restore it, or to start cold if nothing was stored. Prints one line: kills, states found complete, runs
before the first state, and logs with an incomplete end.
"""
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile

from fakes import HOST, FakeUpstream, free_port, port_of

DEFAULT_COUNT = 200
RANDOM_SEED = 8
MIN_RUN_S, MAX_RUN_S = 0.05, 0.6
REQUEST_INTERVAL_S = 0.01
CORES = 4
WORK_BY_CLASS = {"trail-sheet": 0.01}
COLD_START = 'learned_state: cold start reason="no saved state"'
RESTORED = "learned_state: restored classes=1 upstreams=1 generation="


def write_files(folder, port, upstream_port):
    """Writes the inventory and the operator's file; returns the path of the latter."""
    with open(os.path.join(folder, "s.csv"), "w") as file:
        file.write("name,address,protocol,group\nup,%s:%d,http,maps\n" % (HOST, upstream_port))
    path = os.path.join(folder, "o.yaml")
    with open(path, "w") as file:
        file.write(
            "listen: {http: %s:%d}\ninventory: s.csv\ncores: %d\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n"
            "learning: {folder: state, node: n1, period_s: 0.1}\n" % (HOST, port, CORES)
        )
    return path


async def send_request(port):
    """Sends one request; what becomes of it does not matter."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"POST /v1/trail-sheet HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")
        await reader.read()
        writer.close()
    except OSError:
        pass


async def run_and_kill(binary, config_path, port, seconds):
    """Runs the program under load for so many seconds and kills it; returns its log."""
    log_path = os.path.join(os.path.dirname(config_path), "log")
    with open(log_path, "w") as log:
        program = subprocess.Popen([binary, "serve", "--operator", config_path], stderr=log)
    clock = asyncio.get_running_loop()
    end = clock.time() + seconds
    tasks = []
    while clock.time() < end:
        tasks.append(asyncio.create_task(send_request(port)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    program.send_signal(signal.SIGKILL)
    program.wait()
    await asyncio.gather(*tasks)
    with open(log_path) as log:
        return log.read()


def check_start(number, log, last_saved):
    """Exits if a run neither restored what was stored nor started cold for want of it."""
    is_cold = COLD_START in log
    if log and not is_cold and RESTORED not in log:
        sys.exit("life %d took neither what was kept nor a cold start:\n%s" % (number, log))
    if is_cold and last_saved[0] > 0:
        sys.exit("life %d started cold though state was kept" % number)


def check_state(number, binary, folder, last_saved):
    """Exits if the stored state is older than before or has a refused snapshot.

    Returns (generation, time of saving) and whether the end of a log was refused.
    """
    command = [binary, "state", "show", folder, "--json"]
    shown = json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)
    saved = (shown["generation"], shown["state"].get("about", {}).get("saved_ms", 0))
    if saved < last_saved:
        sys.exit("life %d left %s after %s" % (number, saved, last_saved))
    if any(not reason.startswith("log-") for reason in shown["refused"]):
        sys.exit("life %d left a snapshot that is refused: %s" % (number, shown["refused"]))
    return saved, bool(shown["refused"])


async def main():
    """Runs and kills the program, and checks the state after each run."""
    binary = sys.argv[1]
    count = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_COUNT
    dice = random.Random(RANDOM_SEED)
    port = free_port()
    upstream = await asyncio.start_server(FakeUpstream(CORES, WORK_BY_CLASS).serve, HOST, 0)
    complete = without_state = incomplete_logs = 0
    last_saved = (0, 0)  # generation and time of saving
    with tempfile.TemporaryDirectory() as folder:
        config_path = write_files(folder, port, port_of(upstream))
        state_folder = os.path.join(folder, "state")
        for number in range(count):
            log = await run_and_kill(binary, config_path, port, dice.uniform(MIN_RUN_S, MAX_RUN_S))
            check_start(number, log, last_saved)
            if not os.path.isdir(state_folder):
                continue
            last_saved, has_incomplete_log = check_state(number, binary, state_folder, last_saved)
            complete += last_saved[0] > 0
            without_state += last_saved[0] == 0
            incomplete_logs += has_incomplete_log
    upstream.close()
    print(
        "%d kills: %d states whole, %d lives before the first, %d with the end of a log cut; generation %d"
        % (count, complete, without_state, incomplete_logs, last_saved[0])
    )


if __name__ == "__main__":
    asyncio.run(main())
