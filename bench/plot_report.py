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
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402


def main(out, paths):
    reports = []
    for path in paths:
        with open(path) as f:
            reports.append(json.load(f))
    n = len(reports)
    fig, axes = plt.subplots(3, n, figsize=(max(6.0, 4.6 * n), 9.0), squeeze=False, constrained_layout=True)
    top = max(max(max(s["shares"]) for s in r["evenness"]["stretches"]) for r in reports)
    worst = max(max(s["worst"] for s in r["evenness"]["stretches"]) for r in reports)
    for col, r in enumerate(reports):
        stretches = r["evenness"]["stretches"]
        at = [s["at_s"] for s in stretches]
        shares = np.array([s["shares"] for s in stretches]).T
        order = np.argsort(np.array(r["places"]), kind="stable")
        heat = axes[0][col].imshow(
            shares[order],
            aspect="auto",
            origin="lower",
            vmin=0.0,
            vmax=min(2.0, top),
            cmap="viridis",
            extent=(at[0], at[-1] + 0.25, 0, len(shares)),
            interpolation="nearest",
        )
        axes[0][col].set_title("%s\n%s, %s" % (r["experiment"], r["policy"], r["how"]), fontsize=10)
        axes[0][col].set_ylabel("server, smallest first")
        fig.colorbar(heat, ax=axes[0][col], label="calls in hand / places")
        axes[1][col].plot(at, [s["worst"] for s in stretches], label="busiest over the mean")
        axes[1][col].plot(at, [s["mean"] for s in stretches], label="mean share")
        axes[1][col].axhline(1.25, color="grey", linestyle=":", label="1.25")
        axes[1][col].set_ylim(0.0, min(6.0, max(1.4, worst * 1.1)))
        axes[1][col].set_xlabel("s")
        axes[1][col].legend(fontsize=8)
        figures = r["figures"]
        names = [("p50_ms", "p50"), ("p95_ms", "p95"), ("p99_ms", "p99"), ("p999_ms", "p99.9")]
        bars = axes[2][col].bar(
            [label for _, label in names], [figures[k] for k, _ in names], color="tab:blue"
        )
        axes[2][col].bar_label(bars, fmt="%.0f", fontsize=8)
        axes[2][col].set_ylabel("answer, ms")
        axes[2][col].set_title(
            "worst p99 %.3f, idle %.2f%%, cv %.3f, errors %.2f%%"
            % (
                figures["worst_p99"],
                100.0 * figures["idle"],
                figures["variation"],
                100.0 * figures["errors"],
            ),
            fontsize=9,
        )
    fig.savefig(out, dpi=80)


if __name__ == "__main__":
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2:])
