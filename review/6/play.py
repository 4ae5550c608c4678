"""The notice to leave for a program under its supervisor: is everything answered that reaches the machine?"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands-2"))
from operator_stands import Client, SupervisedSetup  # noqa: E402
from platform_stands import run_case  # noqa: E402

REQUESTS_PER_S = 16.0
CALM_S = 2.0
STOP_MS = 3000
# A request that crosses the close of its connection within 50 ms is sent again.
CROSSING_MS = 50.0


def make_deployment(record):
    return SupervisedSetup(record, stop_ms=STOP_MS)


async def keep_asking(setup, until, answers):
    clients = [Client(setup, 1), Client(setup, 2)]
    asking = []
    number = 0
    while time.monotonic() < until:
        class_name = "map-order" if number % 4 == 0 else "trail-sheet"
        asking.append(asyncio.create_task(clients[number % 2].ask(class_name, f"body {number}")))
        number += 1
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    answers.extend(await asyncio.gather(*asking))


async def play(setup, trouble):
    await setup.start()
    answers = []
    play_s = CALM_S + STOP_MS / 1000.0
    asking = asyncio.create_task(keep_asking(setup, time.monotonic() + play_s, answers))
    await asyncio.sleep(CALM_S)
    if trouble:
        setup.signal(signal.SIGTERM)
    await asyncio.wait([asking], timeout=30.0)
    if not asking.done():
        return ["lost: requests without any answer after 30 s"]
    refused = sum(answer is None for answer in answers)
    setup.record.add(f"platform: {len(answers)} requests, {refused} connections refused")
    breaches = []
    for answer in answers:
        # A refused connection proves that nothing ran; nothing is owed for it.
        if answer is None or answer.status:
            continue
        waited = answer.ended_at - answer.sent_at
        if waited > CROSSING_MS:
            breaches.append(
                f"lost: {answer.name} was accepted, and its connection ended {waited:.0f} ms later"
            )
    return breaches


run_case(FOLDER, make_deployment, play)
