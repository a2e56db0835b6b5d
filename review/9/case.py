"""Kept connections and one longer run while a node is stopped."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-2"))

import signal
import threading
import time

from rig import TROUBLE, config, main, route, tenant

KEY = "6wsjnbanfqasnmgkcuyj"
USUAL_S = 0.12  # rota-lookup of maua-rota: mean 120 ms ...
LONGER_S = 0.6  # ... one in a hundred takes five times as long, at most 900 ms
DEADLINE_MS = 5000
GRACE_S = 6.0
N_CLIENTS = 108
STEP_S = 0.05  # one of the kept connections is used each 50 ms
LONGER_AT = (4.95, 5.05, 5.15)  # seconds after the SIGTERM


def play(case):
    def run(r):
        time.sleep(LONGER_S if r.target.endswith("/longer") else USUAL_S)
        return 200, b"done"

    # Each zone has one node, so its clients stay with it while it is not
    # ready (PROTOCOL.md, Ingress).
    front = case.machine("huvo11a", run=run, slots=115, zone="arusha")
    case.machine("huvo11a", run=run, slots=115, zone="moshi")
    case.start(config(7, {"r-look": route("/leny950/", "huvo11a")},
                      {"pulo780": tenant(KEY)}))
    broken = []
    clients = [front.client() for _ in range(N_CLIENTS)]

    def ask(client, target):
        rid = case.request_id()
        case.record("sent", id=rid, node=front.name, method="GET",
                    target=target, key=KEY)
        try:
            client.send("GET", target, case.headers(rid, DEADLINE_MS, KEY))
            a = client.read()
        except OSError:
            return rid, None
        case.note(rid, a)
        return rid, a

    # The usual load, on connections that are kept.
    for i in range(0, N_CLIENTS, 12):
        threads = [threading.Thread(target=ask, args=(c, "/leny950/2f"))
                   for c in clients[i:i + 12]]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
    start = time.monotonic()
    if TROUBLE:
        front.signal(signal.SIGTERM)

    def later(client, at_s):
        time.sleep(max(0, start + at_s - time.monotonic()))
        longer = any(abs(at_s - x) < STEP_S / 2 for x in LONGER_AT)
        sent_s = time.monotonic() - start
        rid, a = ask(client, "/leny950/longer" if longer else "/leny950/2f")
        if a is None or not case.ran(rid) or a.complete:
            return
        broken.append(f"LOST: a request sent {sent_s:.2f} s after the SIGTERM "
                      f"was running at a worker and its connection was {a.end} "
                      f"{time.monotonic() - start:.2f} s after it")

    threads = [threading.Thread(target=later, args=(c, STEP_S * (i + 1)))
               for i, c in enumerate(clients)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return broken


main(os.path.dirname(os.path.abspath(__file__)), play)
