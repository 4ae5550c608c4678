#!/usr/bin/env python3
"""Kills a program under load at 200 seeded moments, and looks at what each start finds.

Use: bench/kill.py build/cressledge [TIMES]

Each life saves what it learned ten times a second. After each SIGKILL the kept state has to be whole: the
one before or a later one, by its time of saving and its completions; and the next life has to take it, or
start cleanly cold.
"""
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile

from restart import StandIn, free_port


async def main():
    binary, times = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 200
    dice, port = random.Random(8), free_port()
    server = await asyncio.start_server(StandIn(0.1).serve, "127.0.0.1", 0)
    counts = {"cold": 0, "whole": 0, "log cut": 0}
    with tempfile.TemporaryDirectory() as folder:
        with open(os.path.join(folder, "s.csv"), "w") as f:
            f.write(
                "name,address,protocol,group\nup,127.0.0.1:%d,http,maps\n"
                % server.sockets[0].getsockname()[1]
            )
        path, state = os.path.join(folder, "o.yaml"), os.path.join(folder, "state")
        with open(path, "w") as f:
            f.write(
                "listen: {http: 127.0.0.1:%d}\ninventory: s.csv\ncores: 4\nclasses:\n"
                "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n"
                "learning: {folder: state, node: n1, period_s: 0.1}\n" % port
            )

        async def ask():
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(
                    b"POST /v1/trail-sheet HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
                )
                await reader.read()
                writer.close()
            except OSError:
                pass

        last = (0, 0)  # generation and time of saving
        for life in range(times):
            with open(os.path.join(folder, "log"), "w") as log:
                program = subprocess.Popen([binary, "serve", "--operator", path], stderr=log)
            end, tasks = asyncio.get_running_loop().time() + dice.uniform(0.05, 0.6), []
            while asyncio.get_running_loop().time() < end:
                tasks.append(asyncio.create_task(ask()))
                await asyncio.sleep(0.01)
            program.send_signal(signal.SIGKILL)
            program.wait()
            await asyncio.gather(*tasks)
            text = open(os.path.join(folder, "log")).read()
            cold = 'learned_state: cold start reason="nothing has been kept"' in text
            if text and not cold and "learned_state: restored classes=1 upstreams=1 generation=" not in text:
                sys.exit("life %d took neither what was kept nor a cold start:\n%s" % (life, text))
            if cold and last[0] > 0:
                sys.exit("life %d started cold though state was kept" % life)
            if not os.path.isdir(state):
                continue
            shown = json.loads(
                subprocess.run(
                    [binary, "state", "show", state, "--json"], check=True, capture_output=True, text=True
                ).stdout
            )
            now = (shown["generation"], shown["state"].get("about", {}).get("saved_ms", 0))
            if now < last:
                sys.exit("life %d left %s after %s" % (life, now, last))
            if any(not why.startswith("log-") for why in shown["refused"]):
                sys.exit("life %d left a snapshot that is refused: %s" % (life, shown["refused"]))
            counts["whole" if now[0] else "cold"] += 1
            counts["log cut"] += bool(shown["refused"])
            last = now
    server.close()
    print(
        "%d kills: %d states whole, %d lives before the first, %d with the end of a log cut; generation %d"
        % (times, counts["whole"], counts["cold"], counts["log cut"], last[0])
    )


asyncio.run(main())
