"""Small stand-ins of the platform's store, of engines and of clients, by the users' PROTOCOL page.

Everything listens on loopback. All times are time.monotonic(), which processes share.
"""
import asyncio
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
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BEAT_S = 1.2
now = time.monotonic


def free_port():
    """A port that no connection gets by itself, so that it stays free until the entry takes it."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_message(reader):
    """Reads an HTTP/1.1 message with a length, chunks or no body. None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], fields, body


def answer(status, fields=(), body=b""):
    text = "HTTP/1.1 %d Status\r\n" % status
    for name, value in fields:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Store:
    """The platform's store, form "table": rows, transactions and the feed."""

    def __init__(self):
        self.rows = {}
        self.version = 100
        self.history = []
        self.changed = asyncio.Event()
        self.port = None
        self.delay_s = 0.004
        self.served = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    # What the operator and the engines write

    def put(self, table, key, value):
        """Writes a row. Returns the time of the acknowledgement."""
        self.version += 1
        self._store(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())
        return now()

    def drop(self, table, key):
        self.version += 1
        self._remove(table, "", key)
        return now()

    def _store(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value,
               "rowVersion": self.version}
        self.rows[(table, part, key)] = row
        self._record(row)

    def _remove(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self._record({"table": table, "part": part, "key": key, "rowVersion": self.version,
                          "tombstone": True})

    def _record(self, row):
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls

    def _stamp(self, body):
        body["rowVersion"] = self.version
        body["nowMs"] = int(now() * 1000)
        return body

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, limit = query.get("from", ""), int(query.get("limit", 500))
        keys = sorted(k for k in self.rows
                      if k[0] == table and k[1] == part and k[2] >= first)
        rows = [self.rows[k] for k in keys[:limit]]
        return 200, self._stamp({"rows": rows, "hasMore": len(keys) > limit})

    async def _feed(self, query):
        table, after = query["table"], int(query.get("afterRevision", 0))
        until = now() + min(30.0, int(query.get("waitMs", 0)) / 1000)
        while True:
            changed = self.changed
            latest = {}
            for row in self.history:
                if row["table"] == table and row["rowVersion"] > after:
                    latest[row["key"]] = row
            rest = until - now()
            if latest or rest <= 0:
                rows = sorted(latest.values(), key=lambda row: row["rowVersion"])
                return 200, self._stamp({"rows": rows})
            try:
                await asyncio.wait_for(changed.wait(), rest)
            except asyncio.TimeoutError:
                pass

    def _tx(self, body):
        call = json.loads(body)
        ident = lambda row: (row["table"], row.get("part", ""), row["key"])
        for row in call.get("precondition", []):
            known = self.rows.get(ident(row))
            if (known["rowVersion"] if known else 0) != row["rowVersion"]:
                rows = [self.rows[ident(r)] for r in call["precondition"]
                        if ident(r) in self.rows]
                return 412, self._stamp({"rows": rows})
        self.version += 1
        for row in call.get("putRows", []):
            self._store(*ident(row), row["value"])
        for row in call.get("remove", []):
            self._remove(*ident(row))
        return 200, self._stamp({})

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(self.delay_s)
                if url.path == "/rows-get":
                    status, body = self._get(query)
                elif url.path == "/rows-feed":
                    status, body = await self._feed(query)
                elif url.path == "/rows-tx":
                    status, body = self._tx(message[2])
                else:
                    status, body = 404, {}
                writer.write(answer(status, [("Content-Type", "application/json")],
                                    json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Link:
    """A link that can be cut: bytes are held up in both directions, and new connections hang."""

    def __init__(self, port):
        self.target = port
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def _accept(self, reader, writer):
        await self.open.wait()
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._carry(reader, up_writer), self._carry(up_reader, writer))

    async def _carry(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Engine:
    """An engine of a plain service, which registers itself in the store."""

    def __init__(self, store, name, service, zone, slots=6, work_s=0.015, keep_alive=30):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots, self.work_s, self.keep_alive = slots, work_s, keep_alive
        self.state = "ready"
        self.sequence = 0
        self.active = 0
        self.runs = []  # (time, id, tenant, path)
        self.address = None
        self.alive = True

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while self.alive:
            self.write()
            await asyncio.sleep(BEAT_S)

    def write(self):
        # The entry changes when more than the sequence changes.
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "coldRemainingMs": 0, "sequence": 0}
        if getattr(self, "written", None) != entry:
            self.written = dict(entry)
            self.store.put("servers", self.name, entry)

    def load(self):
        return "%d,%d,%d" % (min(self.active, self.slots), max(0, self.active - self.slots),
                             self.slots)

    async def work(self, fields):
        await asyncio.sleep(self.work_s)

    def respond(self, ident, fields, body, extra=()):
        return answer(200, [("X-Balsamloft-Request-Id", ident),
                            ("X-Balsamloft-Response-Seal", "seal." + ident),
                            ("X-Balsamloft-Instance-Load", self.load()),
                            ("Keep-Alive", "timeout=%d" % self.keep_alive), *extra], body)

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, fields, _ = message
                path = line.split(" ")[1]
                ident = fields.get("x-balsamloft-request-id", "")
                expected = fields.get("x-balsamloft-expected-instance", self.name)
                common = [("X-Balsamloft-Request-Id", ident)]
                if expected != self.name:
                    writer.write(answer(421, common))
                elif not ident:
                    writer.write(answer(400, [("X-Balsamloft-Not-Executed", "1")]))
                elif self.active >= self.slots * 4:
                    writer.write(answer(503, common + [("X-Balsamloft-Not-Executed", "1")]))
                else:
                    self.active += 1
                    self.runs.append((now(), ident, fields.get("x-balsamloft-tenant", ""), path))
                    try:
                        await self.work(fields)
                    finally:
                        self.active -= 1
                    writer.write(self.respond(ident, fields, b"x" * 800))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Entry:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store_port, revoke_ms=5000):
        self.name = name
        self.ports = {kind: free_port() for kind in ("front", "ready", "peer", "forward",
                                                     "metrics")}
        self.file = os.path.join(folder, name + ".flags")
        self.log = os.path.join(folder, name + ".log")
        host = "127.0.0.1:%d"
        flags = {"name": name, "domain": zone, "listen": host % self.ports["front"],
                 "ready_listen": host % self.ports["ready"],
                 "peer_listen": host % self.ports["peer"],
                 "forward_listen": host % self.ports["forward"],
                 "metrics_listen": host % self.ports["metrics"], "store": host % store_port,
                 "revocation_ms": revoke_ms, "beat_ms": int(BEAT_S * 1000), "grace_s": 8,
                 "retry_ratio": 0.2, "retry_slack": 200, "retry_window_s": 10,
                 "memory_mb": 260, "max_descriptors": 4200}
        with open(self.file, "w") as file:
            for flag, value in flags.items():
                file.write("--%s=%s\n" % (flag, value))

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target/bin/balsamloft-entry"), "--flagfile=" + self.file],
                cwd=ROOT, stdout=log, stderr=log)

    def send(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def ready(self, limit_s=10):
        until = now() + limit_s
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def route(name, prefix, kind, service, timeout_ms=1500, target_ms=100, attempts=2, **more):
    return {"name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
            "service": service, "maxAttempts": attempts, "anonymousAccess": False, **more}


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


def service(name, connections=110):
    return {"name": name, "healthPath": "/health", "maxConnections": connections,
            "protocol": "h1", "tls": False}


def identifier():
    return "%016x" % random.getrandbits(64)


def request(path, key=None, ident=None, deadline_ms=1500, method="GET", body=b""):
    ident = ident or identifier()
    text = "%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Balsamloft-Request-Id: %s\r\n" \
           "X-Balsamloft-Request-Deadline: %d\r\n" % (method, path, ident, deadline_ms)
    if key:
        text += "X-Balsamloft-Key: %s\r\n" % key
    if body or method == "POST":
        text += "Content-Length: %d\r\n" % len(body)
    return ident, text.encode() + b"\r\n" + body


class Case:
    """Runs a case in a temporary folder, and ends all that it started."""

    def __init__(self, folder):
        self.folder = os.path.abspath(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.work = tempfile.mkdtemp()
        self.entries = []
        self.record = open(os.path.join(self.folder, "record.txt"), "w")
        self.begin = now()

    def say(self, text):
        self.record.write("%8.3f %s\n" % (now() - self.begin, text))
        self.record.flush()

    def entry(self, *arguments, **named):
        entry = Entry(self.work, *arguments, **named)
        self.entries.append(entry)
        entry.start()
        return entry

    def run(self, play, limit_s=110):
        """\\a play returns whether the rule was broken."""
        code = 2
        try:
            loop = asyncio.new_event_loop()
            broken = loop.run_until_complete(asyncio.wait_for(play(self), limit_s))
            code = 1 if broken else 0
        except BaseException as error:  # the case could not run
            self.say("could not run: %r" % (error,))
        finally:
            for entry in self.entries:
                entry.end()
            if os.environ.get("KEEP"):
                self.say("kept " + self.work)
            else:
                shutil.rmtree(self.work, ignore_errors=True)
        self.say({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        self.record.close()
        os._exit(code)  # the tasks of the stand-ins end with this process
