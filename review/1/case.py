"""A call ends after its caller has given up: the process never answers anything again."""

import asyncio
import os
import random
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

SERVICE_S = 20.0
REQUEST_INTERVAL_S = 0.06
WORK_S = 0.15  # of each part of a run
CALL_S = 0.15  # the records service's time for a call
PIECE_GAP_S = 0.015  # between the two pieces of a notice of the engine
IMPATIENT_SHARE = 0.2  # of the tries: the caller stops waiting after a part of a second
CALLS = {"trail-sheet": 1, "map-order": 2}
DEADLINES_S = {"trail-sheet": 8.8, "route-profile": 3.5, "map-order": 12.0}
SHARES = {"trail-sheet": 46, "route-profile": 46, "map-order": 8}
SLACK_S = 0.080 + 0.050  # grace-to-answer of the settings; on sockets each time limit is 50 ms longer
TEST_SLACK_S = 0.5  # for the stand-ins' own delays
LOST_PER_1000 = 3  # of all requests: up to so many break no rule on days with trouble


class Try:
    """A try of a request, and what became of it."""

    def __init__(self, number, class_name, patience_s):
        self.trace_id = "%016x" % (0xC000 + number)
        self.class_name = class_name
        self.limit_s = DEADLINES_S[class_name] + SLACK_S + TEST_SLACK_S
        self.is_impatient = patience_s is not None
        self.patience_s = patience_s if self.is_impatient else self.limit_s
        self.answer = None

    async def send(self, record, port, engine):
        """Sends the try and waits for its answer, as long as it may take or the caller is willing to."""
        body = b"request " + self.trace_id.encode()
        self.answer = await send_try(
            record, port, self.class_name, self.trace_id, body, patience_s=self.patience_s
        )
        engine.request_over(self.trace_id)

    def is_lost(self):
        """Whether it got no final answer by its due time although its caller waited."""
        return not self.is_impatient and self.answer.end != "answered"


async def main(record, folder, nodes):
    """Plays the case; returns whether the rule held."""
    dice = random.Random(3)
    engine = Engine(record, "a", WORK_S, CALLS)
    engine.piece_gap_s = PIECE_GAP_S if has_trouble() else 0.0
    records = RecordsService(record, CALL_S)
    engine.records = records
    port = free_port()
    classes = [
        request_class("trail-sheet", "single_shot", 1.0, 2900, 8800, 0.2),
        request_class("route-profile", "free", 2.0, 1500, 3500, 0.2),
        request_class("map-order", "single_shot", 5.0, 3500, 12000),
    ]
    config = {
        "name": "n1",
        "listen": "%s:%d" % (HOST, port),
        "engine": await engine.listen(),
        "lookup": await Directory(record).listen(),
        "records": await records.listen(),
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": settings(classes, [0.6, 0.0, 0.0], [True, False, True]),
    }
    node = Node(record, folder, "n1", config)
    nodes.append(node)
    await node.wait_until_ready()
    tries = []
    tasks = []
    end = time.time() + SERVICE_S
    while time.time() < end:
        class_name = dice.choices(list(SHARES), list(SHARES.values()))[0]
        patience_s = dice.uniform(0.1, 0.5) if dice.random() < IMPATIENT_SHARE else None
        tries.append(Try(len(tries), class_name, patience_s))
        tasks.append(asyncio.create_task(tries[-1].send(record, port, engine)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    return judge(record, node, tries)


def judge(record, node, tries):
    """Every request gets its final answer by its due time, unless its caller has gone; up to 3 in 1,000
    without one break no rule."""
    answered = sum(one.answer.end == "answered" for one in tries)
    if answered == 0:
        raise CannotRun("nothing was answered")
    lost = [one for one in tries if one.is_lost()]
    for one in lost:
        record.add("LOST: %s %s: %s" % (one.trace_id, one.class_name, one.answer.end))
    text = "%d requests: %d answered, %d given up by their callers, %d lost; the process %s" % (
        len(tries),
        answered,
        sum(one.is_impatient and one.answer.end == "gave up" for one in tries),
        len(lost),
        "still runs" if node.process.poll() is None else "has ended",
    )
    record.add(text)
    print(text)
    return len(lost) * 1000 <= LOST_PER_1000 * len(tries)


if __name__ == "__main__":
    play(HERE, main)
