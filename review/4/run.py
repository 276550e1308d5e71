"""A part of prompts crashes each engine that begins to write an answer on it. It stands behind the
64th part of long prompts. Do requests with it go on to reach engines after the fifth crash?

TROUBLE=0: the same requests; the part crashes nothing.
"""
import asyncio
import collections
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from standins import *  # noqa

CONTACT_S = 3.0
INSTANCES, ENGINES = 3, 12
SOUND_PER_S, GUILTY_PER_S = 30.0, 3.0
CALM_S, TROUBLE_S = 6.0, 24.0
BACK_S = 4.0  # an engine is back after some seconds
EXPIRY_S = 3 * BEAT_S
PARTS = int(os.environ.get("PARTS", "70"))  # of a long prompt
GUILTY_PART = "00dead01"
EVENTS, EVENT_S = 30, 0.02
PATH = "/guidance/x"


class ModelEngine(Engine):
    """An engine that holds all layers of the model, and streams."""

    def __init__(self, *arguments, crashes, **named):
        super().__init__(*arguments, **named)
        self.crashes = crashes  # times; None: the part is harmless
        self.reached = []  # (time, id) of requests with the part
        self.begun = set()  # ids of answers that began
        self.connections = set()
        self.port = 0
        self.up = False

    async def start(self):
        self.up = True
        self.active = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "sequence": 0,
            "stage": "both", "kind": "whole", "busy": False,
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "layers": [{"from": 0, "target": 80, "version": 1}]})

    def crash(self):
        if not self.up:
            return
        self.up = False
        self.crashes.append(now())
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(EXPIRY_S, self.store.drop, "servers", self.name)
        asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        self.name = "i-" + identifier()[:8]  # a new incarnation
        await self.start()

    def report(self):
        return json.dumps({
            "stage": "both", "models": [{"name": "m0", "version": 1, "adapters": []}],
            "busy": False, "sequence": 0, "queued": 0, "active": self.active,
            "kvUsed": 800 * 80 * self.active, "kvTotal": 8000000, "handles": 0, "pace": 1,
            "layers": [{"from": 0, "target": 80, "version": 1}]}).encode()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.up:
                message = await read_message(reader)
                if message is None:
                    break
                line, fields, _ = message
                path = line.split(" ")[1]
                ident = fields.get("x-balsamloft-request-id", "")
                echo = [("X-Balsamloft-Request-Id", ident)]
                if path == "/report":
                    writer.write(answer(200, [("Content-Type", "application/json")],
                                        self.report()))
                elif path == "/order":
                    writer.write(answer(409))
                elif fields.get("x-balsamloft-expected-instance", self.name) != self.name:
                    writer.write(answer(421, echo))
                elif self.active >= self.slots:
                    writer.write(answer(503, echo + [("X-Balsamloft-Not-Executed", "1")]))
                else:
                    self.active += 1
                    try:
                        await self.stream(reader, writer, ident, fields)
                    finally:
                        self.active -= 1
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def stream(self, reader, writer, ident, fields):
        guilty = GUILTY_PART in fields.get("x-balsamloft-prompt-prefix", "")
        if guilty:
            self.reached.append((now(), ident))
        await asyncio.sleep(0.05)  # it reads the prompt
        if guilty and self.crashes is not None:
            self.crash()
        if not self.up:
            return
        self.begun.add(ident)
        writer.write(("HTTP/1.1 200 OK\r\nX-Balsamloft-Request-Id: %s\r\n"
                      "X-Balsamloft-Response-Seal: seal.%s\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % (ident, ident)).encode())
        for number in range(int(fields.get("last-event-id", "0")) + 1, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await asyncio.sleep(EVENT_S)
            if not self.up or reader.at_eof():
                return
        writer.write(b"0\r\n\r\n")


def prompt(parts, guilty):
    """Parts that requests share, and a last one of its own. No two requests are alike."""
    shared = ["5c1e07a2"] + ["%08x" % (0x10000000 + random.randrange(400))
                             for _ in range(parts - 2)]
    if guilty:
        shared[-1] = GUILTY_PART
    return ",".join(part + ":10" for part in shared) + ",%s:60" % identifier()[:8]


def stream_request(parts, guilty):
    ident = identifier()
    body = ident.encode()
    head = ("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Balsamloft-Request-Id: %s\r\n"
            "X-Balsamloft-Request-Deadline: 20000\r\nX-Balsamloft-Key: key-a\r\n"
            "X-Balsamloft-Model: m0\r\nX-Balsamloft-Token-Count: %d,%d\r\n"
            "X-Balsamloft-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n"
            % (PATH, ident, 10 * parts + 50, EVENTS, prompt(parts, guilty), len(body)))
    return ident, head.encode() + body


async def call(entry, data):
    """Sends a request on a new connection. \\return the status; 0: no answer"""
    status = 0
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["front"])
        writer.write(data)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
        status = int(head.split()[1])
        end = b"0\r\n\r\n" if b"chunked" in head else b"}"
        rest = b""
        while not rest.endswith(end):
            piece = await asyncio.wait_for(reader.read(65536), 5)
            if not piece:
                return -status
            rest += piece
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    return status


MODEL = {"slots": 60, "kvCapacity": 100000, "kvTokenBytes": 918000, "linkMbps": 400000.0,
         "stride": 3, "models": [{"name": "m0", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}],
         "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0,
         "pairs_per_m": 0.309, "chunk": 512, "report_lag_ms": 200.0,
         "usual": {"prompt": 774, "answer": 204}, "layers": 80, "layerMb": 1750.0,
         "activationBytes": 45900, "pipeMbps": 22000.0,
         "kinds": [{"name": "whole", "sizeMb": 172000.0, "pace": 1, "readFactor": 1}]}


async def play(case):
    store = Store()
    await store.start()
    crashes = [] if case.trouble else None
    engines = [ModelEngine(store, "i-%04x" % n, "guidance-llm", "hall-%d" % (n % 3), slots=60,
                           crashes=crashes) for n in range(ENGINES)]
    for engine in engines:
        await engine.start()
    store.put("op", "config", {
        "version": 7, "services": [dict(service("guidance-llm", 1068), engine=MODEL)],
        "limits": LIMITS, "tenants": [{"name": "tenant-a", "apiKeys": ["key-a"], "priority": 1}],
        "routes": [route("r-guidance", "/guidance/", "streaming", "guidance-llm",
                         timeout_ms=20000, target_ms=500, streamResumption=True,
                         sessionAffinity=True, targetGapMs=200)]})
    entries = [case.entry("front-hall-%d-1" % n, "hall-%d" % n, store.port)
               for n in range(INSTANCES)]
    for entry in entries:
        if not await entry.ready():
            raise RuntimeError("the entries did not get ready")
    await asyncio.sleep(3)
    begin = now()
    end = begin + CALM_S + TROUBLE_S
    statuses = {"sound": collections.Counter(), "with the part": collections.Counter()}
    sound, tasks = [], []

    async def send(guilty):
        long = guilty or random.random() < 0.5
        ident, data = stream_request(PARTS if long else 3, guilty)
        if not guilty:
            sound.append((now(), ident))
        kind = "with the part" if guilty else "sound"
        sent_at, entry = now() - begin, random.choice(entries)
        status = await call(entry, data)
        statuses[kind][status] += 1
        runs = ["%s at %.3f s" % (engine.name, at - begin) for engine in engines
                for at, other in engine.reached if other == ident]
        case.say("%s request %s, sent to %s at %.3f s, answered %d; %s"
                 % (kind, ident, entry.name, sent_at, status, "reached " + (", ".join(runs) or "none") if guilty
                    else "begun" if any(ident in engine.begun for engine in engines)
                    else "not begun"))

    async def source(rate, start, guilty):
        await asyncio.sleep(start)
        while now() < end:
            tasks.append(asyncio.create_task(send(guilty)))
            await asyncio.sleep(random.expovariate(rate))

    await asyncio.gather(source(SOUND_PER_S, 0, False), source(GUILTY_PER_S, CALM_S, True))
    await asyncio.wait(tasks, timeout=8)
    reached = sorted(each for engine in engines for each in engine.reached)
    begun = {ident for engine in engines for ident in engine.begun}
    for name, counts in statuses.items():
        case.say("answers to %s requests, by status (negative: cut short): %s"
                 % (name, dict(counts)))
    for second in range(0, int(CALM_S + TROUBLE_S), 2):
        sent = [ident for at, ident in sound if second <= at - begin < second + 2]
        case.say("sound requests sent from %d s on: %d, of which %d began"
                 % (second, len(sent), len(begun.intersection(sent))))
    case.say("requests with the part that reached engines: %d" % len(reached))
    if not case.trouble:
        return False
    case.say("engines crashed at (s): %s" % [round(at - begin, 2) for at in crashes])
    if len(crashes) < 5:
        return False
    late = [(at, ident) for at, ident in reached if at > crashes[4] + CONTACT_S]
    for at, ident in late:
        case.say("request %s reached an engine %.2f s after the fifth crash"
                 % (ident, at - crashes[4]))
    case.say("BUDGET: %d requests with the part reached engines later than contactMs after the"
             " fifth crash; %d engines ended in all" % (len(late), len(crashes)))
    return len(late) > 3


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
