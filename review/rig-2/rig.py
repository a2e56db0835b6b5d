"""Stand-ins for the cases of the second review: store, worker, client, node.

Everything runs on loopback addresses drawn for each run. The nodes are the
project's own program, started with the command of deploy/system.toml; their
settings are rendered from the template named there. The store, the workers and
the clients do what the platform's pages say and nothing else. Python's standard
library only.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

OUTBOUND, INBOUND, READY, CONTROL, APP, STORE, PORT0 = (
    8548, 8543, 8546, 8540, 8547, 8545, 7000)
MAX_MACHINES = 4
LONGEST_S = 110  # of a script, which may run for 120 seconds

REASONS = {200: "OK", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            self.file.write(
                f"{time.monotonic() - self.start:8.3f} {event} {text}\n")
            self.file.flush()


# --- HTTP, server side ---


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    def get(self, name, default=""):
        for k, v in self.headers:
            if k.lower() == name.lower():
                return v
        return default


def read_request(f):
    """Reads one request from a buffered file; None at the end."""
    line = f.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = []
    while True:
        line = f.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    r = Request(method, target, headers, b"")
    if r.get("Transfer-Encoding").lower() == "chunked":
        while True:
            n = int(f.readline().split(b";")[0], 16)
            r.body += f.read(n)
            f.readline()
            if not n:
                break
    else:
        r.body = f.read(int(r.get("Content-Length", "0") or 0))
    return r


def format_answer(status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """A thread a connection; handle(request, socket) returns False to close."""

    def __init__(self, address, handle):
        self.handle = handle
        self.open = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def end(self):
        """Ends the server as the exit of its process does."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in list(self.open):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, conn):
        self.open.add(conn)
        f = conn.makefile("rb")
        try:
            while True:
                r = read_request(f)
                if r is None or self.handle(r, conn) is False:
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(conn)
            f.close()
            conn.close()


# --- the platform's store ---


class Store:
    """The calls of PROTOCOL.md, "The platform's metadata store"."""

    def __init__(self, ip):
        self.cond = threading.Condition()
        self.items = {}  # key -> dict
        self.history = []  # (revision, event)
        self.revision = 10
        self.leases = {}  # id -> [ttl_s, ends]
        self.next_lease = 100
        self.address = f"{ip}:{STORE}"
        self.server = Server((ip, STORE), self.handle)
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, item))

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, {
            "key": key, "revision": self.revision, "deleted": True}))

    def operator_write(self, key, value):
        """As the operator does; returns when the store has acknowledged it."""
        with self.cond:
            self.put(key, base64.b64encode(json.dumps(value).encode()).decode())
            self.cond.notify_all()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.cond:
                now = time.monotonic()
                for lease in [i for i, v in self.leases.items() if v[1] < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)
        self.cond.notify_all()

    def handle(self, r, conn):
        path, _, query = r.target.partition("?")
        args = {}
        for part in filter(None, query.split("&")):
            k, _, v = part.partition("=")
            args[k] = re.sub("%(..)", lambda m: chr(int(m.group(1), 16)), v)
        body = json.loads(r.body) if r.body else {}
        time.sleep(0.004)
        with self.cond:
            status, out = self.call(r.method, path, args, body)
        data = b"" if out is None else json.dumps(out).encode()
        conn.sendall(format_answer(
            status, [("Content-Type", "application/json")], data))
        return True

    def call(self, method, path, args, body):
        if path == "/kv-key":
            item = self.items.get(args["key"])
            if not item:
                return 404, None
            return 200, dict(item, storeRevision=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(
                args["pathPrefix"]) and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500,
                         "storeRevision": self.revision}
        if path == "/kv-watch":
            return self.watch(args)
        if path == "/kv-txn":
            return self.txn(body)
        if path == "/kv-lease":
            ttl = float(body["ttl_time"].rstrip("ms")) / (
                1000 if body["ttl_time"].endswith("ms") else 1)
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.next_lease,
                         "ttl_time": body["ttl_time"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, None
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"ttl_time": f"{int(self.leases[lease][0] * 1000)}ms"}
        if method == "DELETE":
            self.end_lease(lease)
        return 200, {}

    def watch(self, args):
        ends = time.monotonic() + int(args["waitMs"]) / 1000
        after = int(args["after"])
        while True:
            events = [e for rev, e in self.history if rev > after and
                      e["key"].startswith(args["pathPrefix"])]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            self.cond.wait(left)

    def txn(self, body):
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [
                    self.items.get(p["key"]) or {
                        "key": p["key"], "revision": 0, "deleted": True}
                    for p in body["precondition"]]}
        for w in body["writes"]:
            if w.get("lease") and w["lease"] not in self.leases:
                return 404, None
        for w in body["writes"]:
            self.put(w["key"], w["value"], w.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        self.cond.notify_all()
        return 200, {"revision": self.revision}


# --- a machine: a node and the worker beside it ---


def render(template, fields):
    """The template language of DEPLOY.md, as far as deploy/node.toml.in uses
    it: values by path, without sections."""

    def value(m):
        at = fields
        for part in m.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at[part]
        return str(at)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Machine:
    def __init__(self, case, n, service, run=None, slots=32, zone=None,
                 bounds=None):
        self.case, self.service, self.slots = case, service, slots
        self.name = f"sidecar-{n}"
        self.ip = f"{case.net}.{n + 10}"
        self.id = f"i-{n:04x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        self.state = "ready"
        self.run = run or (lambda r: (200, b"done"))
        self.process = None
        self.log = None
        self.zone = zone or f"zone-{n % 2}"
        self.app = Server((self.ip, APP), self.handle)
        self.settings = os.path.join(case.tmp, self.name + ".toml")
        self.write_settings(bounds or {})
        threading.Thread(target=self.beat_forever, daemon=True).start()

    def write_settings(self, bounds):
        with open(os.path.join(ROOT, "deploy", "node.toml.in"),
                  encoding="utf-8") as f:
            template = f.read()
        fields = {
            "nodeName": self.name, "ip": self.ip, "zone": self.zone,
            "region": "region", "service": self.service,
            "appAddr": f"{self.ip}:{APP}",
            "listen": {"inbound": f"{self.ip}:{INBOUND}",
                       "outbound": f"{self.ip}:{OUTBOUND}",
                       "ready": f"{self.ip}:{READY}",
                       "control": f"{self.ip}:{CONTROL}"},
            "portRange": [PORT0, PORT0 + 15],
            "platform": {"address": self.case.store.address},
            "bounds": dict({"revoke": "5000ms", "grace": "6s",
                            "budgetRatio": 0.2, "budgetExtra": 48,
                            "budgetWindow": "10s"}, **bounds),
        }
        text = render(template, fields)
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)

    # the node

    def start(self):
        run = re.search(r'^run = "(.*)"$', self.case.deploy, re.M).group(1)
        words = [self.settings if w == "/etc/fulmarpass/boot.yaml" else w
                 for w in run.split()]
        self.log = open(os.path.join(self.case.tmp, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8",
                 "HOME": self.case.tmp})
        self.case.processes.append(self.process)
        self.case.record("node_started", node=self.name, pid=self.process.pid)

    def signal(self, sig):
        self.case.record("signal", node=self.name, sig=sig.name)
        self.process.send_signal(sig)

    def ready(self):
        try:
            return self.client(READY, timeout=1).ask("GET", "/ready").status == 200
        except OSError:
            return False

    def client(self, port=OUTBOUND, timeout=10, rcvbuf=0):
        return Client((self.ip, port), timeout, rcvbuf)

    # the worker

    def handle(self, r, conn):
        rid = r.get("Fulmarpass-Request-Id")
        echo = [("Fulmarpass-Request-Id", rid)] if rid else []
        target = r.get("Fulmarpass-Target-Instance")
        if r.target == "/health":
            conn.sendall(format_answer(
                200, [("Fulmarpass-Instance-Id", self.id)]))
            return True
        if target and target != self.id:
            conn.sendall(format_answer(
                421, echo + [("Fulmarpass-Instance-Id", self.id)]))
            return True
        self.case.record(
            "run", worker=self.id, service=self.service, id=rid,
            method=r.method, target=r.target, body=len(r.body),
            tenant=r.get("Fulmarpass-Tenant", "-"))
        self.case.runs.append((time.monotonic(), self, r))
        status, body = self.run(r)
        conn.sendall(format_answer(
            status, echo + [("Fulmarpass-Response-Signature",
                             f"{self.id}.{rid}")], body))
        return True

    def next_beat(self):
        """The body of the next heartbeat."""
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.ip}:{APP}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldRemaining": "0ms",
            "sequence": self.sequence, "born": self.born}).encode()

    def deliver_beat(self, body, method="PUT"):
        """Sends what the worker says of itself; returns the status."""
        return self.client(CONTROL, timeout=1).ask(
            method, f"/instances/{self.id}",
            [("Content-Type", "application/json")], body).status

    def beat(self):
        return self.deliver_beat(self.next_beat())

    def leave(self):
        return self.deliver_beat(json.dumps({"born": self.born}).encode(),
                                 "DELETE")

    def beat_forever(self):
        while not self.case.over:
            if self.beating:
                try:
                    self.beat()
                except OSError:
                    time.sleep(0.2)
                    continue
            time.sleep(1.5)


# --- client ---


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, [], b""
        self.length = None
        self.complete = False
        self.end = ""

    def get(self, name, default=""):
        for k, v in self.headers:
            if k.lower() == name.lower():
                return v
        return default


class Client:
    """One connection. step and pause: a client that reads slowly takes step
    bytes, then rests for pause seconds."""

    def __init__(self, address, timeout=10, rcvbuf=0):
        self.sock = socket.socket()
        if rcvbuf:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        self.sock.settimeout(timeout)
        self.sock.connect(address)

    def send(self, method, target, headers=(), body=b""):
        lines = [f"{method} {target} HTTP/1.1"]
        names = [h[0].lower() for h in headers]
        if "host" not in names:
            lines.append("Host: hulo84.example")
        lines += [f"{k}: {v}" for k, v in headers]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def read(self, step=65536, pause=0.0, on_bytes=None):
        a = Answer()
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                more = self.sock.recv(step)
                if not more:
                    a.end = "closed before the head"
                    return a
                data += more
            head, _, rest = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            a.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                k, _, v = line.partition(":")
                a.headers.append((k.strip(), v.strip()))
            a.length = int(a.get("Content-Length", "0"))
            parts, got = [rest], len(rest)
            while got < a.length:
                if on_bytes:
                    on_bytes(got)
                if pause:
                    time.sleep(pause)
                more = self.sock.recv(step)
                if not more:
                    a.end = "closed within the body"
                    break
                parts.append(more)
                got += len(more)
            a.body = b"".join(parts)
            a.complete = got >= a.length
        except socket.timeout:
            a.end = "no answer in time"
        except OSError as e:
            a.end = f"connection lost ({e.strerror})"
        return a

    def ask(self, method, target, headers=(), body=b"", **how):
        try:
            self.send(method, target, headers, body)
            return self.read(**how)
        finally:
            self.sock.close()


# --- a case ---


class Case:
    """The deployment of one case, and its end."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.runs = []
        self.processes = []
        self.machines = []
        self.over = False
        self.ids = 0
        self.lock = threading.Lock()
        self.tmp = tempfile.mkdtemp(prefix="fulmar-case-")
        program = os.path.join(ROOT, "target", "fulmarpass")
        if not os.access(program, os.X_OK):
            raise CannotRun("target/fulmarpass is not built")
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as f:
            self.deploy = f.read()
        self.net = self.free_net()
        self.store = Store(f"{self.net}.1")

    @staticmethod
    def free_net():
        """A loopback network whose addresses nobody listens on."""
        for i in range(50):
            net = (f"127.{60 + (os.getpid() + i) % 150}."
                   f"{1 + os.getpid() // 150 % 250}")
            try:
                for host in [1] + list(range(11, 11 + MAX_MACHINES)):
                    for port in (OUTBOUND, INBOUND, READY, CONTROL, APP, STORE,
                                 PORT0, PORT0 + 1):
                        with socket.socket() as s:
                            s.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback address")

    def machine(self, service, **how):
        m = Machine(self, len(self.machines) + 1, service, **how)
        self.machines.append(m)
        return m

    def start(self, config):
        """Writes the first configuration, starts all nodes, waits for them."""
        self.write_config(config)
        for m in self.machines:
            m.start()
        if not self.wait(lambda: all(m.ready() for m in self.machines), 20):
            raise CannotRun("the nodes did not become ready")
        time.sleep(3)  # heartbeats, members and links are in place

    def write_config(self, config):
        self.store.operator_write("op/config", config)
        self.record("config_acknowledged", version=config["version"],
                    tenants=json.dumps(config.get("tenants")))
        return time.monotonic()

    @staticmethod
    def wait(done, seconds):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if done():
                return True
            time.sleep(0.05)
        return done()

    def request_id(self):
        with self.lock:
            self.ids += 1
            return f"{os.getpid():08x}{self.ids:08x}"

    def headers(self, rid, deadline_ms=5000, key=None):
        h = [("Fulmarpass-Request-Id", rid),
             ("Fulmarpass-Deadline-Ms", str(deadline_ms))]
        return h + [("Fulmarpass-Key", key)] if key else h

    def ask(self, m, method, target, key=None, deadline_ms=5000, body=b"",
            **how):
        """Sends one request on a connection of its own; records it."""
        rid = self.request_id()
        self.record("sent", id=rid, node=m.name, method=method, target=target,
                    key=key or "-")
        try:
            a = m.client().ask(method, target,
                               self.headers(rid, deadline_ms, key), body, **how)
        except OSError as e:
            a = Answer()
            a.end = f"not connected ({e.strerror})"
        self.note(rid, a)
        return rid, a

    def note(self, rid, a):
        self.record("answered", id=rid, status=a.status,
                    reason=a.get("Fulmar-Reason", "-"),
                    bytes=len(a.body), length=a.length,
                    complete=a.complete, end=a.end or "-")

    def ran(self, rid):
        return [x for x in self.runs
                if x[2].get("Fulmarpass-Request-Id") == rid]

    def end(self):
        self.over = True
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes:
            p.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.tmp, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)


def route(prefix, service, kind="safe", timeout="5000ms", public=False,
          **more):
    r = {"hostname": "hulo84.example", "pathPrefix": prefix, "kind": kind,
         "timeout": timeout, "targetLatency": "1500ms", "priority": 1,
         "service": service, "maxAttempts": 2, "public": public}
    r.update(more)
    return r


def config(version, routes, tenants=None, services=()):
    names = {r["service"] for r in routes.values() if "service" in r}
    names |= set(services)
    c = {"version": f"r{version}", "routes": routes,
         "services": {s: {"healthPath": "/health", "maxConnections": 790,
                          "protocol": "h1", "tls": False} for s in names},
         "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                    "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}
    if tenants is not None:
        c["tenants"] = tenants
    return c


def tenant(*keys, rate=160, burst=160):
    return {"apiKeys": list(keys), "priority": 1, "ratePerS": rate,
            "burst": burst}


def main(folder, play):
    """play(case) returns the list of violations. Exits with 0, 1 or 2."""
    case = None

    def stop(_sig, _frame):
        raise CannotRun("stopped, or over its time")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(LONGEST_S)
    try:
        case = Case(folder)
        broken = play(case)
        for b in broken:
            case.record("BROKEN", what=b)
            print("broken:", b)
        case.record("verdict", broken=len(broken), trouble=TROUBLE)
        print("rule broken" if broken else "rule held")
        code = 1 if broken else 0
    except CannotRun as e:
        print("cannot run:", e)
        code = 2
    except Exception as e:  # a fault of the case, not of the system
        print("cannot run:", type(e).__name__, e)
        if os.environ.get("DEBUG"):
            raise
        code = 2
    finally:
        if case:
            case.end()
    sys.exit(code)
