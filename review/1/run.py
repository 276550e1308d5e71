"""Case 1: a stream that may not be repeated is sent twice, see claim.txt."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 5
ENGINES = 7  # one that crashes is a share of 0.143
SLOW_ANSWER_MS = 4.0 * 50  # platform_slow: answers take x (50) times as long
HOST = "floor.example"
PATH = "/guidance/plan"

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-plan", "host": HOST, "prefix": "/guidance/", "kind": "streaming",
        "timeoutMs": 20000, "targetLatencyMs": 500, "priority": 1, "service": "guidance",
        "maxAttempts": 2, "anonymousAccess": False, "sessionAffinity": True,
        "streamResumption": False, "targetGapMs": 200,
    }],
    "services": [{
        "name": "guidance", "healthPath": "/health", "maxConnections": 1068, "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 192, "kvCapacity": 100000, "kvTokenBytes": 918000, "linkMbps": 400000.0,
            "stride": 3, "models": [{"name": "model", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}],
            "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956,
            "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "report_lag_ms": 200.0,
            "loadsPerS": 0.0, "loads_at_once": 5, "delays": [],
            "usual": {"prompt": 774, "answer": 204}, "layers": 16, "layerMb": 1750.0,
            "activationBytes": 45900, "pipeMbps": 22000.0,
            "kinds": [{"name": "a100", "sizeMb": 72000.0, "pace": 2.4, "readFactor": 3.2}],
        },
    }],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = standins.Fleet(record)
        self.started = 0
        self.twice = []

    async def start_engine(self):
        self.started += 1
        await self.fleet.start_engine(
            id=f"i-{self.started:04x}", service="guidance", zone="hall", slots=192, kind="a100",
            layers=16, answers="stream", load_s=0.5, first_s=0.03, event_s=0.06, events=40)

    async def start(self):
        await self.fleet.start_store()
        await self.fleet.store.put("op", "config", CONFIGURATION)
        for _ in range(ENGINES):
            await self.start_engine()
        self.entries = [await self.fleet.start_entry(name, "hall")
                        for name in ("front-hall-1", "front-hall-2")]
        for entry in self.entries:
            if not await standins.until(entry.is_ready, 15):
                return False
        await asyncio.sleep(8)  # the fleet loads layers and settles
        return True

    async def send(self, entry, request, content, on_piece=None):
        return await standins.call(
            self.record, entry, request, path=PATH, host=HOST, body=content.encode(),
            on_piece=on_piece,
            fields={"X-Balsamloft-Model": "model", "X-Balsamloft-Token-Count": "800,120",
                    "X-Balsamloft-Prompt-Prefix": f"{content[-4:]}:40,{content[-4:]}a:760",
                    "X-Balsamloft-Request-Deadline": "20000"})

    async def engine_of(self, request):
        await standins.until(lambda: self.fleet.runs(request), 2)
        runs = self.fleet.runs(request)
        return runs[0]["engine"] if runs else None

    async def round(self, number):
        """Three callers send the same content: planners ask for the same changeover."""
        content = f"changeover plan for line {number:04d}"
        names = [f"{number:04x}{part}" for part in ("000000000001", "000000000002",
                                                    "000000000003")]
        self.record.add(f"round {number}")
        first = asyncio.create_task(self.send(self.entries[0], names[0], content))
        engine = await self.engine_of(names[0])
        await asyncio.sleep(0.15)
        if TROUBLE:
            self.fleet.kill_engine(engine)
        await asyncio.sleep(0.25)
        begun = asyncio.get_running_loop().create_future()

        def piece(answer):
            if not begun.done():
                begun.set_result(None)

        second = asyncio.create_task(self.send(self.entries[1], names[1], content, piece))
        await asyncio.wait([begun, second], return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(0.7)
        if TROUBLE:
            self.record.add("the store's answers become slow")
            self.fleet.store.answer_ms = SLOW_ANSWER_MS
        await asyncio.sleep(0.2)
        third = asyncio.create_task(self.send(self.entries[1], names[2], content))
        await asyncio.sleep(1.0)
        self.fleet.store.answer_ms = 4.0
        self.record.add("the store's answers take 4 ms")
        answers = await asyncio.gather(first, second, third)
        await asyncio.sleep(0.2)
        for request, answer in zip(names, answers):
            runs = self.fleet.runs(request)
            if len(runs) > 1:
                self.twice.append(request)
                self.record.add(f"TWICE: {request} ran at "
                                + ", ".join(each["engine"] for each in runs)
                                + f"; its caller got {answer}")
        if TROUBLE:
            await self.start_engine()
        await asyncio.sleep(6)

    async def run(self):
        if not await self.start():
            self.record.add("the entries did not become ready")
            return 2
        for number in range(1, ROUNDS + 1):
            await self.round(number)
            if self.twice:
                break
        self.record.add(f"requests that ran more than once: {len(self.twice)}")
        return 1 if self.twice else 0


if __name__ == "__main__":
    standins.run_case(Case, HERE / "record.txt")
