"""A worker leaves, its node is rolled, and a heartbeat arrives late."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-2"))

import signal
import time

from rig import TROUBLE, CannotRun, config, main, route, tenant

KEY = "6wsjnbanfqasnmgkcuyj"
DRAIN_S = 2.0
CONTACT_S = 3.2  # `contact` and a margin
LATE_S = 4.0  # how late the last heartbeat arrives
SERVES_S = 9.0  # the worker serves this long after its leaving was acknowledged


def play(case):
    leaving = case.machine("huvo11a", zone="arusha")
    front = case.machine("wuno96b", zone="moshi")
    case.start(config(7, {"r-order": route("/puka111/", "huvo11a",
                                           kind="unsafe")},
                      {"pulo780": tenant(KEY)}))
    broken = []
    rid, _ = case.ask(front, "POST", "/puka111/2f", KEY)
    if not case.ran(rid):
        raise CannotRun("the worker is not reached at first")
    leaving.beating = False
    time.sleep(1.6)
    # The last heartbeat is on its way for LATE_S. The worker then leaves as
    # those do that never report draining.
    late, sent = leaving.next_beat(), time.monotonic()
    if leaving.leave() != 200:
        raise CannotRun("the leaving was not acknowledged")
    acknowledged = time.monotonic()
    case.record("leaving_acknowledged", worker=leaving.id)
    started = acknowledged - 100
    if TROUBLE:
        leaving.signal(signal.SIGTERM)
        leaving.process.wait(timeout=6)
        leaving.start()
        started = time.monotonic()
    time.sleep(max(0, sent + LATE_S - time.monotonic()))
    status = leaving.deliver_beat(late)
    case.record("late_heartbeat", worker=leaving.id, status=status,
                late_s=f"{time.monotonic() - sent:.2f}")
    while time.monotonic() < acknowledged + SERVES_S:
        asked = time.monotonic()
        rid, a = case.ask(front, "POST", "/puka111/2f", KEY)
        for at, m, _ in case.ran(rid):
            after = at - acknowledged
            if m is leaving and after > DRAIN_S and \
                    asked > started + CONTACT_S:
                broken.append(f"DRAIN: a request reached the worker "
                              f"{after:.2f} s after its leaving was "
                              f"acknowledged")
        time.sleep(0.05)
    return broken


main(os.path.dirname(os.path.abspath(__file__)), play)
