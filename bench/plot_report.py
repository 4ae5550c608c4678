#!/usr/bin/python3
"""Draws reports of cressledge_lab: load of each server over time, the busiest over the mean, and the
figures side by side.

Use: bench/plot_report.py OUT.png REPORT.json [REPORT.json ...]

One column a report. Needs Debian's python3-matplotlib. Reads and writes the files named, nothing else.
"""
import json
import sys

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402 (after the choice of the backend)
import numpy as np  # noqa: E402

COLUMN_WIDTH = 4.6  # inches
MIN_WIDTH = 6.0
HEIGHT = 9.0
MAX_DRAWN_SHARE = 2.0
MAX_DRAWN_IMBALANCE = 6.0
MIN_DRAWN_IMBALANCE = 1.4
IMBALANCE_GOAL = 1.25  # busiest over the mean
STRETCH_S = 0.25
QUANTILES = (("p50_ms", "p50"), ("p95_ms", "p95"), ("p99_ms", "p99"), ("p999_ms", "p99.9"))


def stretches_of(report):
    """The report's stretches of time: start, shares of the servers, busiest over the mean, mean share."""
    return report["evenness"]["stretches"]


def max_over_stretches(reports, value_of):
    """The largest value of any stretch of any report."""
    return max(max(value_of(stretch) for stretch in stretches_of(report)) for report in reports)


def draw_shares(figure, axis, report, max_share):
    """Draws the load of each server over time as colours, the smallest server first."""
    stretches = stretches_of(report)
    shares = np.array([stretch["shares"] for stretch in stretches]).T
    order = np.argsort(np.array(report["places"]), kind="stable")
    image = axis.imshow(
        shares[order],
        aspect="auto",
        origin="lower",
        vmin=0.0,
        vmax=min(MAX_DRAWN_SHARE, max_share),
        cmap="viridis",
        extent=(stretches[0]["at_s"], stretches[-1]["at_s"] + STRETCH_S, 0, len(shares)),
        interpolation="nearest",
    )
    axis.set_title("%s\n%s, %s" % (report["experiment"], report["policy"], report["how"]), fontsize=10)
    axis.set_ylabel("server, smallest first")
    figure.colorbar(image, ax=axis, label="calls in hand / places")


def draw_imbalance(axis, report, max_imbalance):
    """Draws the busiest server over the mean, and the mean, over time."""
    stretches = stretches_of(report)
    times = [stretch["at_s"] for stretch in stretches]
    axis.plot(times, [stretch["worst"] for stretch in stretches], label="busiest over the mean")
    axis.plot(times, [stretch["mean"] for stretch in stretches], label="mean share")
    axis.axhline(IMBALANCE_GOAL, color="grey", linestyle=":", label="%.2f" % IMBALANCE_GOAL)
    axis.set_ylim(0.0, min(MAX_DRAWN_IMBALANCE, max(MIN_DRAWN_IMBALANCE, max_imbalance * 1.1)))
    axis.set_xlabel("s")
    axis.legend(fontsize=8)


def draw_latencies(axis, report):
    """Draws quantiles of the answer time as bars, with the other figures as the title."""
    figures = report["figures"]
    labels = [label for _, label in QUANTILES]
    bars = axis.bar(labels, [figures[key] for key, _ in QUANTILES], color="tab:blue")
    axis.bar_label(bars, fmt="%.0f", fontsize=8)
    axis.set_ylabel("answer, ms")
    axis.set_title(
        "worst p99 %.3f, idle %.2f%%, cv %.3f, errors %.2f%%"
        % (
            figures["worst_p99"],
            100.0 * figures["idle"],
            figures["variation"],
            100.0 * figures["errors"],
        ),
        fontsize=9,
    )


def main(image_path, report_paths):
    """Draws the reports into the image."""
    reports = []
    for path in report_paths:
        with open(path) as file:
            reports.append(json.load(file))
    size = (max(MIN_WIDTH, COLUMN_WIDTH * len(reports)), HEIGHT)
    figure, axes = plt.subplots(3, len(reports), figsize=size, squeeze=False, constrained_layout=True)
    max_share = max_over_stretches(reports, lambda stretch: max(stretch["shares"]))
    max_imbalance = max_over_stretches(reports, lambda stretch: stretch["worst"])
    for column, report in enumerate(reports):
        draw_shares(figure, axes[0][column], report, max_share)
        draw_imbalance(axes[1][column], report, max_imbalance)
        draw_latencies(axes[2][column], report)
    figure.savefig(image_path, dpi=80)


if __name__ == "__main__":
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2:])
