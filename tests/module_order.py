#!/usr/bin/env python3
"""Checks that no include runs upward: a module of src/ may include itself and what stands below it.

The order is that of docs/architecture.md, lowest first. The modules that decide, those without I/O there,
also reach no header of libuv or of the system's files and sockets by any include. Prints each include that
breaks this; the exit status is 1 then.
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
WITHOUT_IO = [
    "policy",
    "base",
    "request",
    "connection_admission",
    "learned_state",
    "upstream_health",
    "load_balancing",
    "retry",
    "membership",
]
INCLUDE = re.compile(r'^#include "([a-z_]+)/', re.MULTILINE)
INCLUDED_FILE = re.compile(r'^#include "([a-z_/]+\.hpp)"', re.MULTILINE)
IO_HEADER = re.compile(
    r"^#include <(uv\.h|unistd\.h|fcntl\.h|(?:sys|netinet|arpa)/[a-z_]+\.h|fstream|filesystem)>",
    re.MULTILINE,
)


def io_headers(root, path, seen):
    """Returns the I/O headers that the file, or a header that it includes, includes."""
    if path in seen or not path.exists():
        return set()
    seen.add(path)
    text = path.read_text()
    found = set(IO_HEADER.findall(text))
    for name in INCLUDED_FILE.findall(text):
        found |= io_headers(root, root / name, seen)
    return found


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
        if module in WITHOUT_IO:
            for header in sorted(io_headers(root, path, set())):
                bad.append(f"{path.relative_to(root.parent)}: reaches <{header}>, but {module}/ does no I/O")
    print("\n".join(bad), end="\n" if bad else "")
    sys.exit(1 if bad else 0)


main()
