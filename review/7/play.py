"""A new configuration lacks a key and has to be turned down; then a guarded request comes back."""

import asyncio
import copy
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands-2"))
from platform_stands import Caller, Deployment, base_settings, now_ms, request_class, run_case  # noqa: E402

WINDOW_MS = 5000.0
REQUESTS = 8


def make_deployment(record):
    classes = [
        request_class("route-profile", "free", 2.0, 1500.0, 3500.0),
        request_class("map-order", "guarded", 5.0, 2600.0, 4000.0, **{"repeat-window": WINDOW_MS}),
    ]
    return Deployment(record, base_settings(classes), speed=1.2)


async def order_twice(deployment, number, arrivals):
    """A caller that stops waiting for a guarded request and asks once more within the window, under the same
    key."""
    caller = Caller(deployment, number)
    key, body = f"order-{number}", f"work=500 order={number}"
    arrivals[key] = [now_ms()]
    await caller.ask("map-order", body, key=key, give_up=0.3, fresh=True)
    await asyncio.sleep(1.2)
    arrivals[key].append(now_ms())
    await caller.ask("map-order", body, key=key, fresh=True)
    await caller.close()


async def play(deployment, trouble):
    process = await deployment.start()
    if trouble:
        settings = copy.deepcopy(deployment.settings)
        del settings["classes"][1]["effect"]
        await deployment.reload(process, settings)
    arrivals = {}
    await asyncio.gather(*(order_twice(deployment, number, arrivals) for number in range(1, REQUESTS + 1)))
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
