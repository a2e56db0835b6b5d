"""A node that is stopped breaks off a request that it took after 3 s.

The clients of n1, the only node of its zone, have connections open and send
orders on them. Orders take as long as they have lines: most 0.3 s. n1 gets
SIGTERM. 3.3 s later a client sends an order that takes 2.6 s; n1 passes it on
and exits while the worker runs it. TROUBLE=0: n1 is not stopped.
"""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'rig-3'))
from rig import (main, request_headers, route, signal, threading, time)  # noqa

LINE = b'one line of an order: forty bytes of it\n'
LINE_S = 0.01
USUAL_LINES = 30
LONG_LINES = 260
DEADLINE_MS = 5000
PERIOD_S = 0.1
N_CONNECTIONS = 60
LATE_S = 3.3      # after the SIGTERM; the rule excuses up to 3 s
GRACE_S = 6.0


def case(rig, trouble):
    rig.config(10, {'ra': route('/order/', 'unsafe', 'deep',
                                timeout='5000ms')})
    a = rig.machine('n1', 'front', zone='z1')
    b = rig.machine('n2', 'deep', zone='z2', slots=64,
                    work=lambda r: LINE_S * (len(r[5]) // len(LINE)))

    def order(connection, lines):
        ident = rig.new_id()
        answer = connection.request('POST', '/order/x', request_headers(
            ident, DEADLINE_MS), LINE * lines)
        rig.record('%s, %d lines: %s' % (ident, lines, answer))
        return ident, answer

    def probe():
        """The platform asks each second whether the node is ready."""
        while not stop.is_set():
            rig.record('ready of n1: %s' % a.ready())
            stop.wait(1.0)

    def usual(connection):
        try:
            order(connection, USUAL_LINES)
        except OSError as e:
            rig.record('a usual order was not sent: %s' % e)

    stop = threading.Event()
    rig.wait('ready', lambda: a.ready() and b.ready())
    rig.wait('served', lambda: order(a.connect(), 1)[1].status == 200)
    threading.Thread(target=probe, daemon=True).start()
    # The connections of a busier moment stay open.
    pool = [a.connect() for _ in range(N_CONNECTIONS)]
    threads = [threading.Thread(target=usual, args=(c,)) for c in pool]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    long_one = pool.pop()
    if trouble:
        a.signal(signal.SIGTERM)
    start = time.monotonic()
    late = False
    result = {}

    def send_long():
        result['sent_s'] = time.monotonic() - start
        ident, answer = order(long_one, LONG_LINES)
        result.update(ident=ident, answer=answer,
                      ended_s=time.monotonic() - start)

    n = 0
    while time.monotonic() - start < 5.5 and pool:
        if not late and time.monotonic() - start >= LATE_S:
            late = True
            threading.Thread(target=send_long, daemon=True).start()
        threading.Thread(target=usual, args=(pool.pop(),),
                         daemon=True).start()
        n += 1
        time.sleep(max(0, start + n * PERIOD_S - time.monotonic()))
    time.sleep(3.0)
    stop.set()
    if 'answer' not in result:
        rig.record('the long order has no end')
        return True
    ran = b.worker.n_runs(result['ident']) > 0
    rig.record('the long order was sent %.2f s after the SIGTERM and ended '
               'after %.2f s: %s; it ran: %s' % (
                   result['sent_s'], result['ended_s'], result['answer'], ran))
    # Passed on to a worker, and the connection ended without an answer, or with
    # one of the node's own, before the deadline and before 1 s after grace.
    own = 'Fulmarpass-Response-Signature' not in dict(result['answer'].headers)
    return (ran and own and result['ended_s'] < GRACE_S + 1 and
            result['ended_s'] - result['sent_s'] < DEADLINE_MS / 1000)


main(HERE, case)
