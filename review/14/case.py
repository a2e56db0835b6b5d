"""Workers that joined shortly before a drill of the store get no requests.

Two nodes of `fresh` run, their workers do not yet. The store is copied, the
workers start, and the operator adds a route to `fresh`, which is served. The
store goes away for 1.5 s and comes back from the copy; the operator writes the
same configuration again, and the workers go on announcing themselves. TROUBLE=0:
the store does not go away.
"""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'rig-3'))
from rig import (Worker, main, request_headers, route, threading, time)  # noqa

STEADY_S = 8.0      # after the return; `contact` is 3 s, `configApply` 2 s
N_ASKED = 20        # of each route at each machine with clients


def case(rig, trouble):
    first = {'ra': route('/front/', 'safe', 'front')}
    both = dict(first, rb=route('/fresh/', 'safe', 'fresh'))
    rig.config(10, first)
    front = [rig.machine('n%d' % i, 'front') for i in (1, 2)]
    fresh = [rig.machine('n%d' % i, 'fresh', worker=False) for i in (3, 4)]

    def ask(node, path):
        ident = rig.new_id()
        answer = node.connect().request('GET', path,
                                        request_headers(ident, 2000))
        rig.record('%s at %s: %s' % (path, node.name, answer))
        return answer.status == 200

    rig.wait('ready', lambda: all(n.ready() for n in front + fresh))
    rig.wait('served', lambda: all(ask(n, '/front/x') for n in front))
    time.sleep(8)
    copy = rig.store.copy()
    rig.record('copy of the store at revision %d' % copy[3])
    for n in fresh:
        n.worker = Worker(n.ip, 'fresh', 'i-' + n.name, rig.record)
        rig.workers.append(n.worker)
        rig.record('worker i-%s starts' % n.name)
        time.sleep(0.6)
    rig.config(11, both)
    rig.wait('fresh served', lambda: all(ask(n, '/fresh/x') for n in front))
    rig.record('revision %d' % rig.store.revision)
    if trouble:
        rig.store.go_away()
        rig.record('the store is away')
        operator = threading.Thread(target=rig.config, args=(11, both))
        operator.start()
        time.sleep(1.5)
        rig.store.come_back(copy, 5.0)
        rig.record('the store is back from the copy, era %d' % rig.store.era)
        operator.join()
    time.sleep(STEADY_S)
    served = {'/front/x': 0, '/fresh/x': 0}
    for _ in range(N_ASKED):
        for n in front:
            for path in served:
                served[path] += ask(n, path)
        time.sleep(0.25)
    asked = N_ASKED * len(front)
    rig.record('served: %d of %d on the first route, %d of %d on the later '
               'one' % (served['/front/x'], asked, served['/fresh/x'], asked))
    return served['/fresh/x'] * 4 < served['/front/x']


main(HERE, case)
