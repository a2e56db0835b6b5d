#!/usr/bin/env python3
"""Checks that no layer includes headers of a higher layer.

base is the lowest layer. state (pure decisions) and transport (sockets) are
above it and must not include each other. protocol, coordination, node and cmd
follow in this order. platform/ at the root is the adapter to the users'
platform: it may include the layers below node, and only cmd, which assembles
the program, may include it. The platform's names must not occur in src.
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
    status = 0
    paths = [(p, p.parts[1]) for p in pathlib.Path("src").rglob("*.[ch]*")]
    paths += [(p, "platform") for p in pathlib.Path("platform").glob("*.[ch]")]
    for path, layer in sorted(paths):
        for line in path.read_text().splitlines():
            include = re.match(r'#include "([a-z]+)/', line)
            if include and include.group(1) not in ALLOWED[layer]:
                print(f"{path}: layer {layer} includes "
                      f"{include.group(1)}")
                status = 1
            if layer != "platform" and PLATFORM_WORDS.search(line):
                print(f"{path}: the platform's names belong in platform/: "
                      f"{line.strip()}")
                status = 1
    return status


sys.exit(main())
