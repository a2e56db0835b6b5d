"""A version adds a tenant with a long name: is that version in force?"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-2"))

import time

from rig import TROUBLE, config, main, route, tenant

KEY, NEW_KEY = "6wsjnbanfqasnmgkcuyj", "8pjbvk9m68k7b2ex5wa5"
CONFIG_APPLY_S = 2.0
# The users' own name (LETTER 1 and SYSTEM.md) as the name of a tenant.
LONG_NAME = "kilimanjaro-holdings-liturgical-florals-division"
SHORT_NAME = "kilimanjaro-holdings"


def play(case):
    front = case.machine("huvo11a", zone="arusha")
    case.machine("wuno96b", zone="moshi")
    routes = {"r-look": route("/leny950/", "huvo11a"),
              "r-open": route("/nami204/", "huvo11a", public=True),
              "r-gone": route("/siwa377/", "huvo11a", public=True)}
    tenants = {"pulo780": tenant(KEY)}
    case.start(config(7, routes, tenants))
    broken = []
    for target, key in (("/leny950/2f", KEY), ("/nami204/2f", None),
                        ("/siwa377/2f", None)):
        case.ask(front, "GET", target, key)
    # The new version moves one route to another service, drops one, and adds
    # a tenant.
    routes = {"r-look": route("/leny950/", "huvo11a"),
              "r-open": route("/nami204/", "wuno96b", public=True)}
    tenants[LONG_NAME if TROUBLE else SHORT_NAME] = tenant(NEW_KEY)
    case.write_config(config(12, routes, tenants))
    for wait_s in (CONFIG_APPLY_S + 2, 4, 4):
        time.sleep(wait_s)
        rid, a = case.ask(front, "GET", "/nami204/2f")
        for _, m, _ in case.ran(rid):
            if m.service != "wuno96b":
                broken.append("CONFIG: a route that was moved is run by the "
                              f"old service {m.service}")
        rid, a = case.ask(front, "GET", "/siwa377/2f")
        if case.ran(rid):
            broken.append("CONFIG: a request runs on a dropped route")
        _, a = case.ask(front, "GET", "/leny950/2f", KEY)
        if a.status != 200:
            print("note: an unchanged route with an unchanged key answers",
                  a.status, a.get("Fulmar-Reason"))
    return broken


main(os.path.dirname(os.path.abspath(__file__)), play)
