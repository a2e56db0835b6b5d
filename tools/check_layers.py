#!/usr/bin/env python3
"""Checks that a lower layer includes nothing from a higher one.

base is below everything. state (pure decisions) and transport (sockets) are
siblings that do not see each other. protocol, coordination, node and cmd
follow in this order. platform/ at the root is the adapter to the users'
platform: it may use what is below node, and only cmd, which puts the program
together, may include it. The platform's names stand nowhere else.
"""
import pathlib
import re
import sys

ALLOWED = {
    "base": {"base"},
    "state": {"base", "state"},
    "transport": {"base", "transport"},
    "protocol": {"base", "state", "transport", "protocol"},
    "coordination": {"base", "state", "transport", "protocol",
                     "coordination"},
    "node": {"base", "state", "transport", "protocol", "coordination",
             "node"},
    "cmd": {"base", "state", "transport", "protocol", "coordination", "node",
            "cmd", "platform"},
    "platform": {"base", "state", "transport", "protocol", "coordination",
                 "platform"},
}
PLATFORM_WORDS = re.compile("|".join(
    w for w in pathlib.Path("platform/words.txt").read_text().splitlines()
    if w and not w.startswith("#")))


def main() -> int:
    bad = 0
    paths = [(p, p.parts[1]) for p in pathlib.Path("src").rglob("*.[ch]*")]
    paths += [(p, "platform") for p in pathlib.Path("platform").glob("*.[ch]")]
    for path, layer in sorted(paths):
        for line in path.read_text().splitlines():
            m = re.match(r'#include "([a-z]+)/', line)
            if m and m.group(1) not in ALLOWED[layer]:
                print(f"{path}: layer {layer} includes {m.group(1)}")
                bad = 1
            if layer != "platform" and PLATFORM_WORDS.search(line):
                print(f"{path}: the platform's names belong to platform/: "
                      f"{line.strip()}")
                bad = 1
    return bad


sys.exit(main())
