"""A new version under load: a guarded request that ran in the old process comes back to the new one."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands-2"))
from platform_stands import Caller, Deployment, base_settings, now_ms, request_class, run_case  # noqa: E402

WINDOW_MS = 5000.0
# SIGKILL follows after the longest deadline plus 0.7 s.
DEADLINE_MS = 4000.0
KILL_AFTER_S = DEADLINE_MS / 1000.0 + 0.7
REQUESTS = 8


def make_deployment(record):
    classes = [
        request_class("route-profile", "free", 2.0, 1500.0, 3500.0),
        request_class("map-order", "guarded", 5.0, 2600.0, DEADLINE_MS, **{"repeat-window": WINDOW_MS}),
    ]
    return Deployment(
        record, base_settings(classes), stop_ms=int(KILL_AFTER_S * 1000), inherits_listener=True, speed=1.2
    )


async def order_twice(deployment, number, arrivals):
    """A caller that stops waiting for a guarded request and asks once more, under the same key and on a new
    connection, within the window."""
    caller = Caller(deployment, number)
    key, body = f"order-{number}", f"work=500 order={number}"
    arrivals.setdefault(key, []).append(now_ms())
    await caller.ask("map-order", body, key=key, give_up=0.3, fresh=True)
    await asyncio.sleep(2.0)
    arrivals[key].append(now_ms())
    await caller.ask("map-order", body, key=key, fresh=True)
    await caller.close()


async def play(deployment, trouble):
    old = await deployment.start()
    arrivals = {}
    orders = [
        asyncio.create_task(order_twice(deployment, number, arrivals)) for number in range(1, REQUESTS + 1)
    ]
    await asyncio.sleep(0.8)
    if trouble:
        await deployment.start_process()
        old.signal(signal.SIGTERM)
        await old.wait_ended(KILL_AFTER_S)
    await asyncio.wait(orders, timeout=10.0)
    breaches = []
    for number in range(1, REQUESTS + 1):
        body = f"work=500 order={number}".encode()
        runs = [run for run in deployment.runs() if run[3] == body]
        first, last = arrivals[f"order-{number}"]
        if len(runs) > 1 and last - first <= WINDOW_MS:
            names = ", ".join(run[1] for run in runs)
            breaches.append(
                f"duplicate: order-{number} ran {len(runs)} times ({names}), "
                f"tries {last - first:.0f} ms apart"
            )
    return breaches


run_case(FOLDER, make_deployment, play)
