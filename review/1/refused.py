"""Case 1, second form: requests that run are refused as not run, after one engine's crash."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 12
ENGINES = 7  # one that crashes is a share of 0.143
CALLERS = 30
WORK_S = 0.03  # the sheet: 15 ms in the mean, at most 110 ms
HOST = "floor.example"
PATH = "/alert/stop"

CONFIGURATION = {
    "version": 7,
    "routes": [{
        "name": "r-stop", "host": HOST, "prefix": "/alert/", "kind": "unsafe", "timeoutMs": 800,
        "targetLatencyMs": 100, "priority": 2, "service": "alert-relay", "maxAttempts": 1,
        "anonymousAccess": False, "sessionAffinity": False,
    }],
    "services": [{"name": "alert-relay", "healthPath": "/health", "maxConnections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = standins.Fleet(record)
        self.started = 0
        self.sent = 0
        self.refused = []

    async def start_engine(self):
        self.started += 1
        await self.fleet.start_engine(id=f"i-{self.started:04x}", service="alert-relay",
                                      zone="hall", slots=6, answers="call", work_s=WORK_S)

    async def send(self, entry, content):
        self.sent += 1
        return await standins.call(self.record, entry, f"{self.sent:016x}", path=PATH, host=HOST,
                                   body=content.encode(),
                                   fields={"X-Balsamloft-Request-Deadline": "1500"})

    async def round(self, number):
        self.record.add(f"round {number}")
        content = f"line {number} stops"
        victim = f"{self.sent + 1:016x}"

        def kill(event):
            if TROUBLE and event["event"] == "runs" and event["request"] == victim:
                self.fleet.kill_engine(event["engine"])

        self.fleet.on_event = kill
        await self.send(self.entries[0], content)
        self.fleet.on_event = None
        await asyncio.sleep(1.2)  # the entries tell each other of the crash
        # An idle entry looks at its requests each 0.4 s, from the end of the last one on.
        await self.send(self.entries[1], f"line {number} runs again")
        await asyncio.sleep(0.31)
        answers = await asyncio.gather(*[self.send(self.entries[1], content)
                                         for _ in range(CALLERS)])
        await asyncio.sleep(0.5)
        for answer in answers:
            runs = self.fleet.runs(answer.request)
            if answer.status in (429, 503) and runs:
                self.refused.append(answer.request)
                self.record.add(f"REFUSED: {answer.request} ran at {runs[0]['engine']} and was "
                                f"answered {answer.status}")
        if TROUBLE:
            await self.start_engine()
        await asyncio.sleep(4)

    async def run(self):
        await self.fleet.start_store()
        self.fleet.store.answer_ms = 5.0  # txMs
        await self.fleet.store.put("op", "config", CONFIGURATION)
        for _ in range(ENGINES):
            await self.start_engine()
        self.entries = [await self.fleet.start_entry(name, "hall")
                        for name in ("front-hall-1", "front-hall-2")]
        for entry in self.entries:
            if not await standins.until(entry.is_ready, 15):
                self.record.add("the entries did not become ready")
                return 2
        await asyncio.sleep(4)
        for number in range(1, ROUNDS + 1):
            await self.round(number)
            if self.refused:
                break
        self.record.add(f"requests that ran and were refused as not run: {len(self.refused)}")
        return 1 if self.refused else 0


if __name__ == "__main__":
    standins.run_case(Case, HERE / "record-refused.txt")
