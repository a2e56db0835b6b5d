"""The last tenant is taken out of the configuration: do its keys still run?"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-2"))

import time

from rig import TROUBLE, config, main, route, tenant

KEY_A, KEY_B = "6wsjnbanfqasnmgkcuyj", "8pjbvk9m68k7b2ex5wa5"
NEVER_HELD = "q4zt1v0c7hx2m9s8d5ra"
REVOKE_S = 5.0


def play(case):
    front = case.machine("huvo11a", zone="arusha")
    case.machine("wuno96b", zone="moshi")
    routes = {"r-look": route("/leny950/", "huvo11a"),
              "r-order": route("/puka111/", "wuno96b", kind="unsafe")}
    case.start(config(7, routes, {"pulo780": tenant(KEY_A),
                                  "vati311": tenant(KEY_B)}))
    broken = []

    def expect(key, allowed, after, why):
        for method, target in (("GET", "/leny950/2f"), ("POST", "/puka111/2f")):
            rid, a = case.ask(front, method, target, key)
            if case.ran(rid) and not allowed:
                broken.append(
                    f"{why}: {method} {target} with key {key} ran "
                    f"{after} s after the acknowledgement, status {a.status}")

    expect(KEY_A, True, 0, "-")
    expect(NEVER_HELD, False, 0, "ROUTE")
    # One of two tenants goes: its key must not run. This is the same with and
    # without the disruption.
    case.write_config(config(9, routes, {"vati311": tenant(KEY_B)}))
    time.sleep(REVOKE_S + 1)
    expect(KEY_A, False, REVOKE_S + 1, "CONFIG")
    expect(KEY_B, True, 0, "-")
    if TROUBLE:
        case.write_config(config(14, routes, {}))
    time.sleep(REVOKE_S + 1)
    expect(KEY_A, False, REVOKE_S + 1, "CONFIG")
    expect(KEY_B, not TROUBLE, REVOKE_S + 1, "CONFIG")
    expect(NEVER_HELD, False, REVOKE_S + 1, "ROUTE")
    return broken


main(os.path.dirname(os.path.abspath(__file__)), play)
