"""A notice to leave, then a new configuration one second later: what runs that came too late?"""

import asyncio
import copy
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands-2"))
from platform_stands import Caller, Deployment, base_settings, now_ms, request_class, run_case  # noqa: E402

STOP_MS = 3200
DRAIN_GRACE_MS = 2000.0
# Each time limit is 50 ms longer on sockets.
SLACK_MS = 50.0
RELOAD_AFTER_S = 1.0


def make_deployment(record):
    classes = [
        request_class("route-profile", "free", 2.0, 1500.0, 3500.0),
        request_class("map-order", "single_shot", 5.0, 3500.0, 12000.0),
    ]
    return Deployment(record, base_settings(classes), stop_ms=STOP_MS)


async def keep_asking(caller, class_name, pause, sent):
    """A caller that has not heard of the drain yet: its list is seconds late."""
    while True:
        answer = await caller.ask(class_name, "work=100")
        if answer is None:
            return
        if answer.status:
            sent[answer.name] = (answer.sent_at, answer.status)
        await asyncio.sleep(pause)


async def play(deployment, trouble):
    process = await deployment.start()
    sent = {}
    callers = [Caller(deployment, number) for number in (1, 2)]
    asking = [
        asyncio.create_task(keep_asking(callers[0], "route-profile", 0.05, sent)),
        asyncio.create_task(keep_asking(callers[1], "map-order", 0.05, sent)),
    ]
    await asyncio.sleep(1.0)
    notice_at = now_ms()
    process.signal(signal.SIGTERM)
    await asyncio.sleep(RELOAD_AFTER_S)
    if trouble:
        settings = copy.deepcopy(deployment.settings)
        settings["classes"][0]["target"] = 1400.0
        await deployment.reload(process, settings)
    await process.wait_ended((notice_at + STOP_MS - now_ms()) / 1000.0)
    await asyncio.wait(asking, timeout=1.0)
    for task in asking:
        task.cancel()
    breaches = []
    for ran_at, name, class_name, _ in deployment.runs():
        sent_at, status = sent.get(name, (0.0, 0))
        late_by = sent_at - notice_at - DRAIN_GRACE_MS - SLACK_MS
        if late_by > 0:
            breaches.append(
                f"drain: {class_name} {name} reached the machine {sent_at - notice_at:.0f} ms after the "
                f"notice to leave and was run at {ran_at - notice_at:.0f} ms (answer {status})"
            )
    return breaches


run_case(FOLDER, make_deployment, play)
