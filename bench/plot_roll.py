#!/usr/bin/python3
"""Draws the report of a roll: errors, refusals, late answers and the 99th percentile of both groups over
time, by stage.

Use: bench/plot_roll.py OUT.png REPORT.json

Needs Debian's python3-matplotlib. Reads and writes the files named, nothing else.
"""
import json
import sys

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

STEP = 10  # looks in one point


def main(out, path):
    with open(path) as f:
        report = json.load(f)
    samples = report["samples"]
    start = samples[0]["at_us"]
    fig, axes = plt.subplots(4, 1, figsize=(9.0, 10.0), sharex=True, constrained_layout=True)
    for group, colour in (("unchanged", "tab:blue"), ("changed", "tab:orange")):
        at, lines = [], {"errors": [], "shed": [], "late": [], "p99_ms": []}
        for i in range(0, len(samples), STEP):
            some = [s[group] for s in samples[i : i + STEP]]
            n = sum(g["ok"] + g["shed"] + g["errors"] for g in some)
            if n == 0:
                continue
            at.append((samples[min(i + STEP, len(samples)) - 1]["at_us"] - start) / 1e6)
            for name in ("errors", "shed", "late"):
                lines[name].append(100.0 * sum(g[name] for g in some) / n)
            lines["p99_ms"].append(max(g["p99_ms"] for g in some))
        for axis, (name, label) in zip(
            axes,
            (("errors", "errors, %"), ("shed", "refused, %"), ("late", "late, %"), ("p99_ms", "p99, ms")),
        ):
            axis.plot(at, lines[name], color=colour, label=group)
            axis.set_ylabel(label)
    for stage in report["stages"]:
        for axis in axes:
            axis.axvline((stage["began_us"] - start) / 1e6, color="grey", linestyle=":")
        axes[0].text(
            (stage["began_us"] - start) / 1e6,
            axes[0].get_ylim()[1],
            " %d changed: %s" % (stage["changed"], stage["verdict"]),
            fontsize=8,
            va="top",
        )
    axes[0].set_title("%s: %s %s" % (report["roll"], report["phase"], report["why"]), fontsize=9)
    axes[0].legend(fontsize=8, loc="center left")
    axes[-1].set_xlabel("s")
    fig.savefig(out, dpi=80)


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2])
