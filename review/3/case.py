"""The link to the engine breaks now and then: a reply is fed a second time, to the run's next call."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stands"))
from platform_stand import (  # noqa: E402
    CannotRun,
    Directory,
    Engine,
    HOST,
    Node,
    RecordsService,
    free_port,
    has_trouble,
    play,
    request_class,
    send_try,
    settings,
)

SERVICE_S = 80.0
REQUEST_INTERVAL_S = 0.15
WORK_S = 0.25  # of each part of a run
BREAK_INTERVAL_S = 2.0
PIECE_GAP_S = 0.025  # between the two pieces of a notice
CALLS = {"trail-sheet": 1, "map-order": 2}
LOST_PER_1000 = 3  # of all requests: up to so many break no rule on days with trouble
SETTLE_S = 1.0
UNSURE_S = 0.05  # commands from so long before a break may be lost; what is older needs no second sending


async def break_links(engine):
    """Breaks the link now and then."""
    await asyncio.sleep(SETTLE_S)
    engine.piece_gap_s = PIECE_GAP_S
    while True:
        await asyncio.sleep(BREAK_INTERVAL_S)
        engine.record.add("engine: the link breaks")
        engine.break_link()


async def main(record, folder, nodes):
    """Plays the case; returns whether the rule held."""
    engine = Engine(record, "a", WORK_S, CALLS)
    port = free_port()
    classes = [
        request_class("trail-sheet", "free", 1.0, 2900, 8800, 0.2),
        request_class("map-order", "single_shot", 5.0, 3500, 12000),
    ]
    config = {
        "name": "n1",
        "listen": "%s:%d" % (HOST, port),
        "engine": await engine.listen(),
        "lookup": await Directory(record).listen(),
        "records": await RecordsService(record, 0.08).listen(),
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": settings(classes, [0.6, 0.0], [True, True]),
    }
    node = Node(record, folder, "n1", config)
    nodes.append(node)
    await node.wait_until_ready()
    trouble = asyncio.create_task(break_links(engine)) if has_trouble() else None
    tries = []
    end = time.time() + SERVICE_S
    while time.time() < end:
        number = len(tries) + 1
        trace_id = "%016x" % (0xB000 + number)
        class_name = "trail-sheet" if number % 5 == 0 else "map-order"
        body = b"request %d" % number
        tries.append(asyncio.create_task(send_try(record, port, class_name, trace_id, body)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    answers = await asyncio.gather(*tries)
    if trouble is not None:
        trouble.cancel()
    return judge(record, engine, answers)


def judge(record, engine, answers):
    """A request whose run gets a changed reply is lost; up to 3 in 1,000 break no rule."""
    if not engine.runs:
        raise CannotRun("nothing was run")
    lost = {
        run_id for run_id, sent_before_break_s in engine.repeated_replies if sent_before_break_s > UNSURE_S
    }
    by_status = {}
    for answer in answers:
        by_status[answer.status] = by_status.get(answer.status, 0) + 1
    text = "%d requests, answers by status %s, %d lost: the run was fed the reply of another call" % (
        len(answers),
        dict(sorted(by_status.items())),
        len(lost),
    )
    record.add(text)
    print(text)
    return len(lost) * 1000 <= LOST_PER_1000 * len(answers)


if __name__ == "__main__":
    play(HERE, main)
