#!/usr/bin/python3
"""Draws the report of a rollout: errors, rejections, late answers and the 99th percentile of both groups over
time, by stage.

Use: bench/plot_roll.py OUT.png REPORT.json

Needs Debian's python3-matplotlib. Reads and writes the files named, nothing else.
"""
import json
import sys

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402 (after the choice of the backend)

SAMPLES_PER_POINT = 10
GROUPS = (("unchanged", "tab:blue"), ("changed", "tab:orange"))
# Field of a sample and label of its axis.
AXES = (("errors", "errors, %"), ("shed", "refused, %"), ("late", "late, %"), ("p99_ms", "p99, ms"))
RATES = ("errors", "shed", "late")


def seconds_between(start_us, time_us):
    """Returns the seconds from one time in microseconds to another."""
    return (time_us - start_us) / 1e6


def points_of(samples, group):
    """Returns the times of a group's points, in seconds, and their values by axis."""
    start_us = samples[0]["at_us"]
    times = []
    values = {name: [] for name, _ in AXES}
    for first in range(0, len(samples), SAMPLES_PER_POINT):
        chunk = samples[first : first + SAMPLES_PER_POINT]
        counts = [sample[group] for sample in chunk]
        requests = sum(count["ok"] + count["shed"] + count["errors"] for count in counts)
        if requests == 0:
            continue
        times.append(seconds_between(start_us, chunk[-1]["at_us"]))
        for name in RATES:
            values[name].append(100.0 * sum(count[name] for count in counts) / requests)
        values["p99_ms"].append(max(count["p99_ms"] for count in counts))
    return times, values


def draw_group(axes, samples, group, colour):
    """Draws the lines of a group."""
    times, values = points_of(samples, group)
    for axis, (name, label) in zip(axes, AXES):
        axis.plot(times, values[name], color=colour, label=group)
        axis.set_ylabel(label)


def draw_stage(axes, start_us, stage):
    """Marks the beginning of a stage with its verdict."""
    began = seconds_between(start_us, stage["began_us"])
    for axis in axes:
        axis.axvline(began, color="grey", linestyle=":")
    axes[0].text(
        began,
        axes[0].get_ylim()[1],
        " %d changed: %s" % (stage["changed"], stage["verdict"]),
        fontsize=8,
        va="top",
    )


def main(image_path, report_path):
    """Draws the report into the image."""
    with open(report_path) as file:
        report = json.load(file)
    samples = report["samples"]
    figure, axes = plt.subplots(len(AXES), 1, figsize=(9.0, 10.0), sharex=True, constrained_layout=True)
    for group, colour in GROUPS:
        draw_group(axes, samples, group, colour)
    for stage in report["stages"]:
        draw_stage(axes, samples[0]["at_us"], stage)
    axes[0].set_title("%s: %s %s" % (report["roll"], report["phase"], report["why"]), fontsize=9)
    axes[0].legend(fontsize=8, loc="center left")
    axes[-1].set_xlabel("s")
    figure.savefig(image_path, dpi=80)


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2])
