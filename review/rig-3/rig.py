"""rig.py - stand-ins for the scripts of this review

A store, workers, clients and the platform of a small deployment, after
PROTOCOL.md and DEPLOY.md. The nodes are the project's own program, each a
process of its own with the settings of deploy/node.toml.in. All addresses are
loopback addresses; each machine has one of its own, and the ports are the same
on all of them.
"""
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
PROGRAM = os.path.join(ROOT, 'target', 'fulmarpass')
PORTS = {'http': 8001, 'peer': 8002, 'control': 8003, 'ready': 8004,
         'admin': 8005, 'inner': 8006, 'app': 9000, 'store': 8500}
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed',
           421: 'Misdirected Request', 429: 'Too Many Requests',
           500: 'Internal Server Error', 503: 'Service Unavailable'}


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, 'w')
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write('%8.3f %s\n' % (time.monotonic() - self.start,
                                            text))
            self.file.flush()


def read_head(f):
    """Reads a start line and headers; None at the end of the connection."""
    line = f.readline()
    if not line.strip():
        return None
    headers = []
    while True:
        h = f.readline()
        if not h:
            return None
        h = h.decode('latin-1').rstrip('\r\n')
        if not h:
            return line.decode('latin-1').strip(), headers
        name, _, value = h.partition(':')
        headers.append((name.strip(), value.strip()))


def find(headers, name):
    for n, v in headers:
        if n.lower() == name.lower():
            return v
    return None


def read_body(f, headers):
    if (find(headers, 'Transfer-Encoding') or '').lower() == 'chunked':
        body = b''
        while True:
            n = int(f.readline().split(b';')[0], 16)
            chunk = f.read(n)
            if len(chunk) < n:
                raise OSError('cut')
            body += chunk
            f.readline()
            if n == 0:
                return body
    n = int(find(headers, 'Content-Length') or 0)
    body = f.read(n) if n else b''
    if len(body) < n:
        raise OSError('cut')
    return body


def message(status, headers, body=b''):
    text = 'HTTP/1.1 %d %s\r\n' % (status, REASONS.get(status, 'Unknown'))
    for name, value in headers:
        text += '%s: %s\r\n' % (name, value)
    return (text + 'Content-Length: %d\r\n\r\n' % len(body)).encode() + body


class Listener:
    """Accepts connections and gives each a thread."""

    def __init__(self, ip, port, serve):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port))
        self.sock.listen(256)
        self.serve = serve
        self.open = set()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                c, _ = self.sock.accept()
            except OSError:
                return
            c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(c)
            threading.Thread(target=self.one, args=(c,), daemon=True).start()

    def one(self, c):
        try:
            self.serve(c)
        except (OSError, ValueError):
            pass
        self.open.discard(c)
        c.close()

    def reset(self):
        """Closes all open connections."""
        for c in list(self.open):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.sock.close()
        self.reset()


class Store:
    """The platform's metadata store."""

    def __init__(self, ip, record):
        self.cond = threading.Condition()
        self.items = {}      # key: (value, revision, lease, created)
        self.changes = []    # (revision, key, item or None)
        self.first = 1       # the oldest revision that a watch may name
        self.revision = 1
        self.leases = {}     # id: [ttl_s, end]
        self.era = 1
        self.away = False
        self.record = record
        self.listener = Listener(ip, PORTS['store'], self.serve)
        self.url = 'http://%s:%d' % (ip, PORTS['store'])
        threading.Thread(target=self.expire, daemon=True).start()

    def set(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            created = self.items[key][3] if key in self.items else self.revision
            self.items[key] = (value, self.revision, lease, created)
        self.changes.append((self.revision, key, self.items.get(key)))
        self.cond.notify_all()

    def put(self, key, value):
        """Writes an item as the operator does; returns at its
        acknowledgement. While the store is away, the call waits for it."""
        with self.cond:
            while self.away:
                self.cond.wait()
            self.set(key, base64.b64encode(value.encode()).decode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v[2] == lease]:
            self.set(key, None)

    def expire(self):
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            with self.cond:
                if self.away:
                    continue
                for lease in [k for k, v in self.leases.items() if v[1] < now]:
                    self.end_lease(lease)

    def copy(self):
        with self.cond:
            return (dict(self.items), list(self.changes), self.first,
                    self.revision,
                    {k: list(v) for k, v in self.leases.items()})

    def go_away(self):
        with self.cond:
            self.away = True
            self.cond.notify_all()
        self.listener.reset()

    def come_back(self, copy, shift_s):
        """Returns from a copy that is shift_s old; leases resume."""
        with self.cond:
            (self.items, self.changes, self.first, self.revision,
             self.leases) = copy
            for v in self.leases.values():
                v[1] += shift_s
            self.era += 1
            self.away = False
            self.cond.notify_all()

    def show(self, key, item, removed_at=0):
        if item is None:
            return {'key': key, 'revision': removed_at, 'deleted': True}
        return {'key': key, 'value': item[0], 'revision': item[1],
                'created': item[3], 'lease': item[2]}

    def call(self, method, path, query, body):
        if path == '/kv-key':
            key = query['key'][0]
            item = self.items.get(key)
            out = self.show(key, item) if item else {}
            return (200 if item else 404), dict(out,
                                                storeRevision=self.revision)
        if path == '/kv-range':
            prefix = query['pathPrefix'][0]
            after = query.get('after', [''])[0]
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {'items': [self.show(k, self.items[k]) for k in keys],
                         'hasMore': False, 'storeRevision': self.revision}
        if path == '/kv-txn':
            rows = body.get('precondition', [])
            for row in rows:
                item = self.items.get(row['key'])
                if (item[1] if item else 0) != row['revision']:
                    return 412, {'items': [
                        self.show(r['key'], self.items.get(r['key']))
                        for r in rows if r['key'] in self.items]}
            for w in body.get('writes', []):
                if w.get('lease') and w['lease'] not in self.leases:
                    return 404, {}
            for w in body.get('writes', []):
                self.set(w['key'], w['value'], w.get('lease', 0))
            for key in body.get('remove', []):
                if key in self.items:
                    self.set(key, None)
            return 200, {'revision': self.revision}
        if path == '/kv-lease':
            ttl = seconds(body['ttl_time'])
            lease = random.randrange(1, 1 << 50)
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return 200, {'lease': lease, 'ttl_time': body['ttl_time']}
        lease = int(path.rsplit('/', 1)[1])
        if path.startswith('/kv-keep/'):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {'ttl_time': '%dms' % (ttl * 1000)}
        if path.startswith('/kv-lease-end/'):
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def watch(self, query):
        prefix = query['pathPrefix'][0]
        after = int(query['after'][0])
        end = time.monotonic() + int(query['waitMs'][0]) / 1000
        era = self.era
        if after < self.first - 1 or after > self.revision:
            return 410, {}
        while not self.away and era == self.era:
            events = [self.show(k, i, r) for r, k, i in self.changes
                      if r > after and k.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events,
                             'storeRevision': self.revision}
            self.cond.wait(left)
        return None, None

    def serve(self, c):
        f = c.makefile('rb')
        while True:
            head = read_head(f)
            if not head:
                return
            method, target, _ = head[0].split(' ')
            raw = read_body(f, head[1])
            body = json.loads(raw) if raw else {}
            url = urlsplit(target)
            query = parse_qs(url.query)
            time.sleep(0.004)
            with self.cond:
                if self.away:
                    return
                if url.path == '/kv-watch':
                    status, out = self.watch(query)
                else:
                    status, out = self.call(method, url.path, query, body)
                era = self.era
            if status is None:
                return
            c.sendall(message(status, [('Content-Type', 'application/json'),
                                       ('Store-Era', era)],
                              json.dumps(out).encode()))


def seconds(text):
    return float(text[:-2]) / 1000 if text.endswith('ms') else float(text[:-1])


class Worker:
    """A worker: announces itself and runs requests. work(request) tells how
    long it runs one; answer(request, send) may replace the whole answer."""

    def __init__(self, ip, service, ident, record, work=None, answer=None,
                 slots=64, beat_s=1.5):
        self.ip, self.service, self.id = ip, service, ident
        self.record, self.slots, self.beat_s = record, slots, beat_s
        self.work = work or (lambda r: 0.02)
        self.answer = answer
        self.runs = []       # (time, request id, method, target, headers, body)
        self.lock = threading.Lock()
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.control = None
        self.stopped = False
        self.listener = Listener(ip, PORTS['app'], self.serve)
        threading.Thread(target=self.beats, daemon=True).start()

    def beat(self, state=None, sequence=None):
        """Announces itself; returns the status, 0 without an answer."""
        with self.lock:
            self.sequence += 1
            body = {'service': self.service,
                    'address': '%s:%d' % (self.ip, PORTS['app']),
                    'zone': 'z', 'version': 'v1', 'slots': self.slots,
                    'state': state or self.state, 'coldRemaining': '0ms',
                    'sequence': sequence or self.sequence, 'born': self.born}
        return self.tell('PUT', body)

    def tell(self, method, body):
        try:
            c = Connection(self.ip, PORTS['control'], 1.0)
            return c.request(method, '/instances/' + self.id,
                             [('Content-Type', 'application/json')],
                             json.dumps(body).encode()).status
        except OSError:
            return 0

    def beats(self):
        while not self.stopped:
            self.beat()
            time.sleep(self.beat_s)

    def serve(self, c):
        f = c.makefile('rb')
        while True:
            head = read_head(f)
            if not head:
                return
            method, target, _ = head[0].split(' ', 2)
            headers = head[1]
            body = read_body(f, headers)
            ident = find(headers, 'Fulmarpass-Request-Id')
            if target == '/health':
                c.sendall(message(200, [('Fulmarpass-Instance-Id', self.id)]))
                continue
            meant = find(headers, 'Fulmarpass-Target-Instance')
            if meant and meant != self.id:
                c.sendall(message(421, [('Fulmarpass-Instance-Id', self.id)]))
                continue
            request = (time.monotonic(), ident, method, target, headers, body)
            with self.lock:
                self.runs.append(request)
            self.record('worker %s runs %s %s %s body=%d' % (
                self.id, ident, method, target, len(body)))
            time.sleep(self.work(request))
            if self.answer and self.answer(request, c):
                continue
            try:
                c.sendall(message(200, [
                    ('Fulmarpass-Request-Id', ident),
                    ('Fulmarpass-Response-Signature', 'sig.' + str(ident))],
                    b'done ' + str(ident).encode()))
            except OSError:
                self.record('worker %s: the connection of %s is closed' % (
                    self.id, ident))
                raise
            self.record('worker %s has answered %s' % (self.id, ident))

    def n_runs(self, ident):
        with self.lock:
            return sum(1 for r in self.runs if r[1] == ident)

    def close(self):
        self.stopped = True
        self.listener.close()


class Answer:
    def __init__(self, status=0, headers=(), body=b'', why=''):
        self.status, self.headers = status, list(headers)
        self.body, self.why = body, why

    def __str__(self):
        if not self.status:
            return 'no answer (%s)' % self.why
        return '%d %s' % (self.status, ' '.join(
            '%s=%s' % h for h in self.headers
            if h[0].lower().startswith(('fulmar', 'retry', 'connection'))))


class Connection:
    """A client's connection."""

    def __init__(self, ip, port, timeout_s=10.0, source=None):
        self.sock = socket.create_connection((ip, port), timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile('rb')

    def send(self, method, target, headers, body=b''):
        text = '%s %s HTTP/1.1\r\n' % (method, target)
        if not any(n.lower() == 'host' for n, _ in headers):
            text += 'Host: h.example\r\n'
        for h in headers:
            text += '%s: %s\r\n' % h
        if body or method not in ('GET', 'HEAD', 'DELETE'):
            text += 'Content-Length: %d\r\n' % len(body)
        self.sock.sendall((text + '\r\n').encode('latin-1') + body)

    def read(self):
        try:
            head = read_head(self.file)
            if not head:
                return Answer(why='closed')
            status = int(head[0].split(' ')[1])
            body = b'' if status in (204, 304) else read_body(self.file,
                                                               head[1])
            return Answer(status, head[1], body)
        except OSError as e:
            return Answer(why=str(e))

    def request(self, method, target, headers, body=b''):
        self.send(method, target, headers, body)
        return self.read()

    def close(self):
        self.file.close()
        self.sock.close()


class Node:
    """The project's node on one machine."""

    def __init__(self, rig, name, service, zone, store_url=None):
        self.rig, self.name, self.service = rig, name, service
        self.ip = rig.next_ip()
        self.zone = zone
        self.path = os.path.join(rig.dir, name + '.toml')
        self.store_url = store_url or rig.store.url
        self.process = None
        self.n_starts = 0
        with open(self.path, 'w') as f:
            f.write(self.settings())

    def settings(self):
        p = PORTS
        return '''[node]
name = "%s"
address = "%s"
failure_domain = "%s"
region = "r"
service = "%s"

[listen]
http_port = "%s:%d"
peer_port = "%s:%d"
local_port = "%s:%d"
local_address = "%s"
ready_port = "%s:%d"
admin_port = %d
control_port = %d

[backend]
address = "%s:%d"

[store]
kind = "leases"
url = "%s"
timeout_ms = 1000

[limits]
max_body_bytes = 67108864
max_header_bytes = 16384
max_connections = 3000

[bounds]
revoke = "5000ms"
grace = "6s"
retry_ratio = "0.2"
retry_floor = 48
retry_window = "10s"
''' % (self.name, self.ip, self.zone, self.service, self.ip, p['http'],
            self.ip, p['peer'], self.ip, p['control'], self.ip, self.ip,
            p['ready'], p['admin'], p['inner'], self.ip, p['app'],
            self.store_url)

    def start(self):
        self.n_starts += 1
        log = open(os.path.join(self.rig.dir, '%s-%d.log' % (
            self.name, self.n_starts)), 'w')
        self.process = subprocess.Popen(
            [PROGRAM, 'node', '--settings', self.path], stdout=log,
            stderr=subprocess.STDOUT, cwd=ROOT, stdin=subprocess.DEVNULL)
        self.rig.record('node %s starts (%s)' % (self.name, self.ip))
        return self

    def signal(self, number):
        self.rig.record('node %s gets %s' % (self.name,
                                             signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        try:
            c = Connection(self.ip, PORTS['ready'], 1.0)
            return c.request('GET', '/ready', []).status == 200
        except OSError:
            return False

    def connect(self, timeout_s=10.0):
        return Connection(self.ip, PORTS['http'], timeout_s)

    def log(self):
        with open(os.path.join(self.rig.dir, '%s-%d.log' % (
                self.name, self.n_starts))) as f:
            return f.read()


class Rig:
    """A deployment; use it as a context."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, 'record.txt'))
        self.dir = tempfile.mkdtemp(prefix='review-3-')
        self.nodes, self.workers = [], []
        self.count = 0
        self.ids = 0
        self.id_lock = threading.Lock()
        self.net = self.free_net()
        self.store = Store(self.net + '1', self.record)

    def free_net(self):
        for _ in range(100):
            net = '127.%d.%d.' % (random.randrange(20, 250),
                                  random.randrange(1, 250))
            try:
                for port in PORTS.values():
                    s = socket.socket()
                    s.bind((net + '2', port))
                    s.close()
                return net
            except OSError:
                pass
        raise OSError('no free ports')

    def next_ip(self):
        self.count += 1
        return '%s%d' % (self.net, self.count + 1)

    def machine(self, name, service, zone='z1', worker=True, **kw):
        """Starts a node and the worker beside it."""
        n = Node(self, name, service, zone)
        n.start()
        self.nodes.append(n)
        n.worker = None
        if worker:
            n.worker = Worker(n.ip, service, 'i-' + name, self.record, **kw)
            self.workers.append(n.worker)
        return n

    def wait(self, what, done, limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if done():
                return
            time.sleep(0.02)
        raise CannotRun('not in %g s: %s' % (limit_s, what))

    def config(self, version, routes, tenants=None):
        out = {'version': 'r%d' % version, 'routes': routes,
               'services': {}, 'limits': {
                   'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                   'headerTimeout': '3000ms', 'idleTimeout': '15000ms'}}
        for r in routes.values():
            for s in [r['service']] if 'service' in r else [
                    x['service'] for x in r['trafficSplit']]:
                out['services'][s] = {'healthPath': '/health',
                                      'maxConnections': 256}
        if tenants is not None:
            out['tenants'] = tenants
        self.store.put('op/config', json.dumps(out))
        self.record('the operator writes r%d, acknowledged' % version)

    def new_id(self, prefix='c'):
        with self.id_lock:
            self.ids += 1
            return '%s%015x' % (prefix, self.ids)

    def __enter__(self):
        return self

    def __exit__(self, *args):
        for n in self.nodes:
            if n.process and n.process.poll() is None:
                n.process.send_signal(signal.SIGCONT)
                n.process.kill()
                n.process.wait()
        for w in self.workers:
            w.close()
        self.store.listener.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.dir, ignore_errors=True)
        else:
            print('logs in', self.dir)


class CannotRun(Exception):
    pass


def route(prefix, kind, service, timeout='5000ms', attempts=2, public=True,
          **more):
    r = {'hostname': 'h.example', 'pathPrefix': prefix, 'kind': kind,
         'timeout': timeout, 'targetLatency': '2000ms', 'priority': 0,
         'maxAttempts': attempts, 'public': public}
    if service:
        r['service'] = service
    return dict(r, **more)


def request_headers(ident, deadline_ms, key=None, *more):
    h = [('Fulmarpass-Request-Id', ident),
         ('Fulmarpass-Deadline-Ms', str(deadline_ms))]
    if key:
        h.append(('Fulmarpass-Key', key))
    return h + list(more)


def main(folder, case):
    """Runs case(rig, trouble): returns whether the rule was broken. Exits with
    1 if it was, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.alarm(118)
    try:
        with Rig(folder) as rig:
            broken = case(rig, trouble)
            rig.record('the rule %s' % ('was broken' if broken else 'held'))
    except (CannotRun, OSError) as e:
        print('could not run: %s' % e, file=sys.stderr)
        sys.exit(2)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
