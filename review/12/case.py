"""A key that is taken away as the store returns from a drill stays in use.

Three nodes in one zone serve. The operator's r11 is the first change after the
copy of the store. The store goes away for 1.5 s and comes back from that copy,
5 s old. Meanwhile the operator has r12, which takes a key away; it is what he
writes when the store is back. TROUBLE=0: the store does not go away.
"""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'rig-3'))
from rig import (Rig, main, request_headers, route, threading, time)  # noqa

KEY = 'kx7rmq2vta9dpw4hs0eb'
OTHER = 'q8znc5yfu3jg1ol6xt7w'
NEW = 'w3hbd8kpv0ra6tzy2mcx'
REVOKE_S = 5.0
WATCHED_S = 15.0


def case(rig, trouble):
    routes = {'ra': route('/front/', 'safe', 'front', public=False),
              'rb': route('/deep/', 'unsafe', 'deep', public=False)}

    def write(version, *keys):
        rig.config(version, routes,
                   {'t1': {'apiKeys': list(keys), 'priority': 1}})

    def ask(node, key):
        ident = rig.new_id()
        answer = node.connect().request('POST', '/deep/x',
                                        request_headers(ident, 3000, key))
        rig.record('%s with key %s.. to %s: %s' % (ident, key[:3], node.name,
                                                   answer))
        return ident, answer.status

    write(10, KEY, OTHER)
    nodes = [rig.machine('n1', 'front'), rig.machine('n2', 'deep'),
             rig.machine('n3', 'front')]
    rig.wait('ready', lambda: all(n.ready() for n in nodes))
    rig.wait('served', lambda: all(ask(n, KEY)[1] == 200 for n in nodes))
    time.sleep(8)    # the fleet is quiet: nothing writes to the store
    copy = rig.store.copy()
    rig.record('copy of the store at revision %d' % copy[3])
    time.sleep(1)
    write(11, KEY, OTHER, NEW)
    rig.record('revision %d' % rig.store.revision)
    time.sleep(2.5)
    if trouble:
        rig.store.go_away()
        rig.record('the store is away')
        operator = threading.Thread(target=write, args=(12, OTHER, NEW))
        operator.start()
        time.sleep(1.5)
        rig.store.come_back(copy, 5.0)
        rig.record('the store is back from the copy, era %d' % rig.store.era)
        operator.join()
    else:
        write(12, OTHER, NEW)
    acked = time.monotonic()
    rig.record('revision %d' % rig.store.revision)
    late = 0
    while time.monotonic() - acked < WATCHED_S:
        time.sleep(0.5)
        for n in nodes:
            since = time.monotonic() - acked
            ident, _ = ask(n, KEY)
            ran = any(w.n_runs(ident) for w in rig.workers)
            if ran and since > REVOKE_S:
                late += 1
                rig.record('%s ran; it was sent %.1f s after the '
                           'acknowledgement of r12' % (ident, since))
        ask(nodes[0], OTHER)
    rig.record('%d requests with the key ran that were sent more than %g s '
               'after the acknowledgement' % (late, REVOKE_S))
    return late > 0


main(HERE, case)
