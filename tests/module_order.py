#!/usr/bin/env python3
"""Checks that no include of the product runs upward: a module may include itself and what stands below it.

The order is that of docs/architecture.md, lowest first. Prints each include that breaks it; the exit status
is 1 then.
"""
import pathlib
import re
import sys

ORDER = [
    "policy",
    "base",
    "request",
    "connection_admission",
    "store",
    "learned_state",
    "upstream_health",
    "load_balancing",
    "retry",
    "membership",
    "net",
    "gossip",
    "frontend",
    "admin",
    "config",
    "supervisor",
    "rollout",
    "platform",
    "upstream",
    "simulator_adapter",
    "command",
]
INCLUDE = re.compile(r'^#include "([a-z_]+)/', re.MULTILINE)


def main():
    root = pathlib.Path(__file__).resolve().parent.parent / "src"
    rank = {name: number for number, name in enumerate(ORDER)}
    known = {folder.name for folder in root.iterdir() if folder.is_dir()}
    bad = [f"src/{name}/ is not in the order of modules" for name in sorted(known - set(ORDER))]
    for path in sorted(root.glob("*/**/*.[ch]pp")):
        module = path.relative_to(root).parts[0]
        for included in INCLUDE.findall(path.read_text()):
            if included in rank and module in rank and rank[included] > rank[module]:
                bad.append(
                    f"{path.relative_to(root.parent)}: includes {included}/, which stands above {module}/"
                )
    print("\n".join(bad), end="\n" if bad else "")
    sys.exit(1 if bad else 0)


main()
