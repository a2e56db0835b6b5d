"""The answer to a request with a large head is lost, though it has run.

A client sends orders on connections that it uses again. Their heads are as large
as the operator's limit allows, 16384 bytes; the worker runs each and answers with
five headers, one of them a cookie of COOKIE_BYTES. TROUBLE=0: the heads have 4096 bytes.
"""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'rig-3'))
from rig import (CannotRun, main, message, request_headers, route, time)  # noqa

HEAD_BYTES = 16384      # limits.maxHeaderBytes of the configuration
SMALL_BYTES = 4096
N_OWN_HEADERS = 56      # the rest of the head
N_ORDERS = 8
COOKIE_BYTES = 256


def head_of(ident, total):
    """The head of an order, exactly total bytes."""
    text = 'POST /order/x HTTP/1.1\r\nHost: h.example\r\n'
    for h in request_headers(ident, 3000):
        text += '%s: %s\r\n' % h
    text += 'Content-Length: 2\r\n'
    left = total - len(text) - 2
    for k in range(N_OWN_HEADERS):
        line = left // (N_OWN_HEADERS - k)
        name = 'X-Trace-%02d: ' % k
        text += name + 'v' * (line - len(name) - 2) + '\r\n'
        left -= line
    text = (text + '\r\n').encode()
    assert len(text) == total
    return text


def case(rig, trouble):
    rig.config(10, {'ra': route('/order/', 'unsafe', 'deep')})
    a = rig.machine('n1', 'front')

    def answer_order(r, c):
        ident = r[1]
        c.sendall(message(200, [
            ('Content-Type', 'application/json'),
            ('Fulmarpass-Request-Id', ident),
            ('Fulmarpass-Response-Signature', 'sig.' + ident),
            ('Fulmarpass-Server-Load', '1,0,64'),
            ('Set-Cookie', 'session=' + 's' * COOKIE_BYTES)],
            b'{"done": true}'))
        return True

    b = rig.machine('n2', 'deep', answer=answer_order)

    def small(c):
        ident = rig.new_id()
        answer = c.request('POST', '/order/x', request_headers(ident, 3000),
                           b'ab')
        rig.record('%s, small: %s' % (ident, answer))
        return answer.status == 200

    rig.wait('ready', lambda: a.ready() and b.ready())
    rig.wait('served', lambda: small(a.connect()))
    cut = 0
    for _ in range(N_ORDERS):
        c = a.connect()
        if not small(c):
            raise CannotRun('a small order is not served')
        ident = rig.new_id()
        head = head_of(ident, HEAD_BYTES if trouble else SMALL_BYTES)
        c.sock.sendall(head + b'ab')
        answer = c.read()
        ran = b.worker.n_runs(ident)
        rig.record('%s, head of %d bytes: %s; ran: %d' % (
            ident, len(head), answer, ran))
        cut += not answer.status and ran > 0
        time.sleep(0.1)
    rig.record('%d of %d orders ran and their kept connection was closed '
               'without an answer' % (cut, N_ORDERS))
    return cut > 3


main(HERE, case)
