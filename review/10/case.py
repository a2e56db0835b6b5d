"""A worker leaves, its node is rolled, and a heartbeat arrives late."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-2"))

import signal
import threading
import time

from rig import TROUBLE, CannotRun, config, main, route, tenant

KEY = "6wsjnbanfqasnmgkcuyj"
DRAIN_S = 2.0
CONTACT_S = 3.2  # `contact` and a margin
LATE_S = 4.0  # how late the last heartbeat arrives
SERVES_S = 6.7  # the worker exits this long after its leaving was acknowledged
RUN_S = 0.3
N_CLIENTS = 4


def play(case):
    def run(r):
        time.sleep(RUN_S)
        return 200, b"ordered"

    leaving = case.machine("huvo11a", run=run, zone="arusha")
    front = case.machine("wuno96b", zone="moshi")
    case.start(config(7, {"r-order": route("/puka111/", "huvo11a",
                                           kind="unsafe")},
                      {"pulo780": tenant(KEY)}))
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
    reached, lost = [], []

    def order():
        while time.monotonic() < acknowledged + SERVES_S:
            asked = time.monotonic()
            rid, a = case.ask(front, "POST", "/puka111/2f", KEY)
            for at, m, _ in case.ran(rid):
                if m is not leaving:
                    continue
                if at > acknowledged + DRAIN_S and asked > started + CONTACT_S:
                    reached.append(at - acknowledged)
                if a.status != 200 or not a.complete:
                    lost.append((rid, a.status))
            time.sleep(0.05)

    threads = [threading.Thread(target=order) for _ in range(N_CLIENTS)]
    for t in threads:
        t.start()
    time.sleep(max(0, acknowledged + SERVES_S - time.monotonic()))
    leaving.app.end()
    case.record("worker_exits", worker=leaving.id)
    for t in threads:
        t.join()
    for rid, status in lost:
        print(f"note: order {rid} was running when the worker exited, its "
              f"client got {status}")
    return [f"DRAIN: an order reached the worker {after:.2f} s after its "
            "leaving was acknowledged" for after in sorted(reached)]


main(os.path.dirname(os.path.abspath(__file__)), play)
