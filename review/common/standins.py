"""Stand-ins for the review cases: the platform's store, engines, entry processes and callers.

The store and the callers run in the driver's event loop. Engines and entries are processes of
their own, so that they can be killed. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
CASE_TIMEOUT_S = 105  # a case that takes longer could not run; its processes are ended


class Record:
    """Writes record.txt: one line per event, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._start:9.3f} {text}\n")
        self._file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the start line and the header fields (lower-case names) of a message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer_text(status, fields, body):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Answer'}\r\n"
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


# --- The platform's store -----------------------------------------------------------------------


class Store:
    """The platform's store, as PROTOCOL.md describes it: tables of rows, one version counter.

    `answer_ms` is the time of an answer. Transactions are carried out one after another.
    """

    def __init__(self, record):
        self.record = record
        self.answer_ms = 4.0
        self.era = None  # stated in each answer once it is set, see restore()
        self.version = 0
        self.rows = {}  # (table, part, key) -> (value in base64, version)
        self.log = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Condition()
        self.beats = {}  # engine's id -> time of its last heartbeat
        self.address = None
        self._server = None
        self._transactions = asyncio.Lock()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        asyncio.get_running_loop().create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, at in list(self.beats.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self.beats[key]
                    await self.write([("servers", "", key, None)])

    async def write(self, rows):
        async with self.changed:
            self.version += 1
            for table, part, key, value in rows:
                known = self.rows.pop((table, part, key), None)
                if value is not None:
                    self.rows[(table, part, key)] = (value, self.version)
                elif known is None:
                    continue
                self.log.append((self.version, table, part, key, value))
            self.changed.notify_all()

    async def put(self, table, key, value):
        """Writes a row as the operator or an engine does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.write([(table, "", key, text)])

    async def beat(self, engine, entry):
        self.beats[engine] = time.monotonic()
        text = base64.b64encode(json.dumps(entry).encode()).decode()
        known = self.rows.get(("servers", "", engine))
        if known is None or known[0] != text:
            await self.write([("servers", "", engine, text)])

    async def forget(self, engine):
        if self.beats.pop(engine, None):
            await self.write([("servers", "", engine, None)])

    def copy(self):
        return dict(self.rows), self.version

    async def restore(self, copy):
        """Comes back from a copy: later rows are gone, and their versions are given out again."""
        async with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.log = [each for each in self.log if each[0] <= self.version]
            self.era += 1
            self.changed.notify_all()

    def _stamp(self, answer):
        answer["rowVersion"] = self.version
        answer["nowMs"] = int(time.monotonic() * 1000)
        return answer

    @staticmethod
    def _row(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "rowVersion": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self._answer(method, path, args, body)
                stated = {"Content-Type": "application/json"}
                if self.era is not None:
                    stated["Store-Era"] = str(self.era)
                writer.write(answer_text(status, stated, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, args, body):
        if path == "/beat":  # engines write their entries here, see Engine
            entry = json.loads(body)
            await self.beat(entry.pop("id"), entry)
            return 200, {}
        delay = self.answer_ms / 1000
        if path == "/rows-tx":
            return await self._transact(json.loads(body), delay)
        if path == "/rows-get":
            await asyncio.sleep(delay)
            rows = [
                self._row(table, part, key, value, version)
                for (table, part, key), (value, version) in sorted(self.rows.items())
                if table == args["table"] and part == args.get("part", "")
                and key >= args.get("from", "")
                and ("target" not in args or key < args["target"])
            ]
            limit = min(int(args.get("limit", "500")), 500)
            return 200, self._stamp({"rows": rows[:limit], "hasMore": len(rows) > limit})
        if path == "/rows-feed":
            if int(args["afterRevision"]) > self.version:
                return 410, {}
            # The rows and the version are of one moment; only then the answer takes its time.
            answer = self._stamp({"rows": await self._changes(args)})
            await asyncio.sleep(delay)
            return 200, answer
        return 404, {}

    async def _changes(self, args):
        after = int(args["afterRevision"])
        until = time.monotonic() + int(args.get("waitMs", "0")) / 1000

        def found():
            return [
                self._row(table, part, key, value, version)
                for version, table, part, key, value in self.log
                if table == args["table"] and version > after
            ]

        while True:
            rows = found()
            left = until - time.monotonic()
            if rows or left <= 0:
                return rows
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, call, delay):
        async with self._transactions:
            await asyncio.sleep(delay)
            for check in call.get("precondition", []):
                known = self.rows.get((check["table"], check["part"], check["key"]))
                if (known[1] if known else 0) != check["rowVersion"]:
                    rows = []
                    for each in call["precondition"]:
                        name = (each["table"], each["part"], each["key"])
                        if name in self.rows:
                            rows.append(self._row(*name, *self.rows[name]))
                    return 412, self._stamp({"rows": rows})
            writes = [(each["table"], each["part"], each["key"], each["value"])
                      for each in call.get("putRows", [])]
            writes += [(each["table"], each["part"], each["key"], None)
                       for each in call.get("remove", [])]
            await self.write(writes)
            return 200, self._stamp({})


class Link:
    """A link to the store that can be cut: what is sent over it then is not answered."""

    def __init__(self, store):
        self.store = store
        self.whole = asyncio.Event()
        self.whole.set()
        self.address = None

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        host, _, port = self.store.address.rpartition(":")
        try:
            await self.whole.wait()
            from_store, to_store = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self._pass(reader, to_store), self._pass(from_store, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _pass(self, reader, writer):
        while data := await reader.read(65536):
            await self.whole.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


# --- Engines ------------------------------------------------------------------------------------


class Engine:
    """An engine that holds all layers of a small model, or a plain server if `layers` is 0.

    It runs as a process of its own (see main()) and prints a line for each request that arrives
    and for each that begins to run.
    """

    def __init__(self, settings):
        self.settings = settings
        self.id = settings["id"]
        self.held = None
        self.sequence = 0
        self.busy = False
        self.active = 0
        self.address = None

    def say(self, **event):
        event["engine"] = self.id
        print(json.dumps(event), flush=True)

    async def run(self):
        server = await asyncio.start_server(self._serve, self.settings["host"],
                                            self.settings.get("port", 0))
        port = server.sockets[0].getsockname()[1]
        self.address = f"{self.settings['host']}:{port}"
        self.say(event="listening", address=self.address)
        await self._beat()

    def _entry(self):
        entry = {
            "id": self.id, "service": self.settings["service"], "address": self.address,
            "zone": self.settings["zone"], "version": "v1", "slots": self.settings["slots"],
            "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence,
        }
        if self.settings.get("layers"):
            entry.update(self._model(), kind=self.settings["kind"], stage="both", busy=self.busy)
        return entry

    def _model(self):
        layers = []
        if self.held:
            layers = [{"from": self.held[0], "target": self.held[1], "version": 1}]
        return {"models": [{"name": "model", "version": 1, "adapters": []}], "layers": layers}

    async def _beat(self):
        host, _, port = self.settings["store"].rpartition(":")
        last = None
        while True:
            entry = self._entry()
            if entry != last or time.monotonic() - sent >= HEARTBEAT_S:
                last, sent = entry, time.monotonic()
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    body = json.dumps(entry).encode()
                    writer.write(b"POST /beat HTTP/1.1\r\nHost: store\r\nContent-Length: "
                                 + str(len(body)).encode() + b"\r\n\r\n" + body)
                    await read_head(reader)
                    writer.close()
                except ConnectionError:
                    return
            await asyncio.sleep(0.1)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                if not await self._answer(line, fields, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send(self, writer, status, fields, body=b""):
        writer.write(answer_text(status, fields, body))
        await writer.drain()
        return True

    async def _answer(self, line, fields, body, reader, writer):
        method, target, _ = line.split(" ")
        if target == "/report":
            report = {"stage": "both", "busy": self.busy, "sequence": self.sequence,
                      "queued": 0, "active": self.active, "kvUsed": 0, "kvTotal": 1000000,
                      "handles": 0, "pace": 1.0, "stalled": []}
            report.update(self._model())
            return await self._send(writer, 200, {"Content-Type": "application/json"},
                                    json.dumps(report).encode())
        expected = fields.get("x-balsamloft-expected-instance")
        if expected and expected != self.id:
            return await self._send(writer, 421, {"X-Balsamloft-Instance-Id": self.id,
                                                  "X-Balsamloft-Not-Executed": "1"})
        if target == "/order":
            return await self._order(json.loads(body), writer)
        if target == "/health":
            return await self._send(writer, 200, {"X-Balsamloft-Instance-Id": self.id})
        request = fields.get("x-balsamloft-request-id", "")
        self.say(event="arrived", request=request)
        if self.settings["answers"] == "stream":
            return await self._stream(request, fields, reader, writer)
        return await self._call(request, reader, writer)

    async def _order(self, order, writer):
        if order.get("operation") != "place":
            return await self._send(writer, 400, {})
        if order.get("precondition", self.sequence) != self.sequence or self.busy:
            return await self._send(writer, 409, {})
        wanted = (order["from"], order["target"])
        if wanted == self.held:
            return await self._send(writer, 200, {})
        self.sequence += 1
        self.busy = True

        async def load():
            await asyncio.sleep(self.settings["load_s"])
            self.held = wanted
            self.busy = False

        asyncio.get_running_loop().create_task(load())
        return await self._send(writer, 202, {})

    def _fields(self, request):
        return {
            "X-Balsamloft-Request-Id": request,
            "X-Balsamloft-Response-Seal": f"seal.{self.id}.{request}",
            "X-Balsamloft-Instance-Load": f"{self.active},0,{self.settings['slots']}",
        }

    async def _call(self, request, reader, writer):
        self.active += 1
        self.say(event="runs", request=request)
        await asyncio.sleep(self.settings["work_s"])
        self.active -= 1
        self.say(event="done", request=request)
        return await self._send(writer, 200, self._fields(request), f"done {request}\n".encode())

    async def _stream(self, request, fields, reader, writer):
        """Sends events; the request begins to run with its first token."""
        self.active += 1
        gone = asyncio.get_running_loop().create_task(reader.read(1))
        try:
            await asyncio.sleep(self.settings["first_s"])
            if gone.done():
                self.say(event="left before it ran", request=request)
                return False
            self.say(event="runs", request=request,
                     last_event_id=fields.get("last-event-id"))
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            for name, value in self._fields(request).items():
                head += f"{name}: {value}\r\n"
            writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(1, self.settings["events"] + 1):
                event = f"id: {number}\ndata: {self.id} {request} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.settings["event_s"])
                if gone.done():
                    self.say(event="left while it ran", request=request, events=number)
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.say(event="done", request=request)
            return False
        finally:
            self.active -= 1
            gone.cancel()


# --- The deployment -----------------------------------------------------------------------------


def free_host():
    """A loopback address of its own, so that the fixed metrics port is free there."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(*hosts):
    for _ in range(200):
        port = random.randint(20000, 30000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


def deploy_command():
    """The run command of the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.split('"')[1].split(" ")
    raise RuntimeError("no run command in deploy/system.toml")


class Fleet:
    """The processes of a case. close() ends all of them."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.work = tempfile.mkdtemp(prefix="balsamloft-review-")
        self.processes = []
        self.events = []  # of engines, each with its time
        self.engines = {}  # id -> (process, address)
        self.on_event = None  # called with each event of an engine as it arrives

    async def start_store(self):
        await self.store.start("127.0.0.1")

    async def start_engine(self, **settings):
        settings["store"] = self.store.address
        settings.setdefault("host", "127.0.0.1")
        process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "engine", json.dumps(settings),
            stdout=asyncio.subprocess.PIPE)
        self.processes.append(process)
        first = json.loads(await process.stdout.readline())
        self.engines[settings["id"]] = (process, first["address"])
        self.record.add(f"engine {settings['id']} listens at {first['address']}")
        asyncio.get_running_loop().create_task(self._follow(process))
        return first["address"]

    async def _follow(self, process):
        while True:
            line = await process.stdout.readline()
            if not line:
                return
            event = json.loads(line)
            event["at"] = time.monotonic()
            self.events.append(event)
            if self.on_event:
                self.on_event(event)
            extra = "".join(f" {name}={value}" for name, value in event.items()
                            if name not in ("event", "engine", "request", "at"))
            self.record.add(f"engine {event['engine']}: {event['event']}"
                            f" {event.get('request', '')}{extra}")

    def kill_engine(self, engine):
        self.record.add(f"engine {engine} is killed")
        self.engines.pop(engine)[0].kill()

    def runs(self, request):
        return [each for each in self.events
                if each["event"] == "runs" and each["request"] == request]

    async def start_entry(self, name, zone, store=None):
        host = free_host()
        port = {each: free_port(host) for each in ("front", "ready", "peer", "forward")}
        values = {
            "nodeName": name, "zone": zone, "listen.front": f"{host}:{port['front']}",
            "listen.ready": f"{host}:{port['ready']}", "ip": host,
            "internalPorts.0": port["peer"], "internalPorts.1": port["forward"],
            "platform.address": store or self.store.address, "bounds.revokeMs": 5000,
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds.graceS": 8,
            "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 200,
            "bounds.budgetWindowS": 10,
        }
        text = (ROOT / "deploy/entry.flags").read_text()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        path = pathlib.Path(self.work, name + ".flags")
        path.write_text(text)
        process = await self._start_process(name, path)
        entry = Entry(name, process, values["listen.front"], values["listen.ready"], path)
        self.record.add(f"entry {name} listens at {entry.front}")
        return entry

    async def _start_process(self, name, path):
        command = [part.replace("/etc/balsamloft/node.json", str(path))
                   for part in deploy_command()]
        log = open(pathlib.Path(self.work, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "BALSAMLOFT_NODE_FILE": str(path)})
        log.close()
        self.processes.append(process)
        return process

    async def start_again(self, entry):
        """Starts the entry again with the same settings, after it was killed."""
        entry.process = await self._start_process(entry.name, entry.settings)
        self.record.add(f"entry {entry.name} starts again")

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        for name in os.listdir(self.work):
            os.unlink(pathlib.Path(self.work, name))
        os.rmdir(self.work)


class Entry:
    def __init__(self, name, process, front, ready, settings):
        self.name = name
        self.process = process
        self.front = front
        self.ready = ready
        self.settings = settings

    async def is_ready(self):
        host, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head[0]


async def until(condition, seconds):
    """Waits for the condition; returns whether it held in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.02)
    return False


# --- Callers ------------------------------------------------------------------------------------


class Answer:
    def __init__(self, request):
        self.request = request
        self.status = 0  # 0: none
        self.fields = {}
        self.body = b""
        self.complete = False
        self.first_event_at = None

    def __str__(self):
        end = "complete" if self.complete else "cut" if self.status else "no answer"
        return f"status {self.status}, {len(self.body)} bytes, {end}"


async def call(record, entry, request, *, method="POST", path, host, body, fields, on_piece=None):
    """Sends one request on a connection of its own and reads the answer."""
    answer = Answer(request)
    address, _, port = entry.front.rpartition(":")
    record.add(f"caller sends {request} to {entry.name}")
    try:
        reader, writer = await asyncio.open_connection(address, int(port))
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Balsamloft-Request-Id: {request}\r\n"
        for name, value in fields.items():
            head += f"{name}: {value}\r\n"
        writer.write((head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()
        answered = await read_head(reader)
        if answered:
            line, answer.fields = answered
            answer.status = int(line.split(" ")[1])
            await read_answer(reader, answer, on_piece)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    record.add(f"caller got for {request}: {answer}"
               + (f" {answer.body.decode().strip()}" if answer.status not in (0, 200) else ""))
    return answer


async def read_answer(reader, answer, on_piece):
    if answer.fields.get("transfer-encoding") != "chunked":
        answer.body = await read_body(reader, answer.fields)
        answer.complete = True
        return
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"x", 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            answer.complete = True
            return
        answer.body += piece
        if answer.first_event_at is None:
            answer.first_event_at = time.monotonic()
        if on_piece:
            on_piece(answer)


def run_case(case, record_path):
    """Runs the case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(record_path)

    async def run():
        instance = case(record)
        try:
            return await asyncio.wait_for(instance.run(), CASE_TIMEOUT_S)
        finally:
            await instance.fleet.close()

    try:
        code = asyncio.run(run())
    except Exception as error:  # pylint: disable=broad-except
        record.add(f"the case could not run: {error!r}")
        code = 2
    record.add(f"exit {code}")
    sys.exit(code)


if __name__ == "__main__" and sys.argv[1:2] == ["engine"]:
    asyncio.run(Engine(json.loads(sys.argv[2])).run())
