"""Case 2 with real processes: an entry in touch serves by an old configuration, see claim.txt."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "floor.example"
PATH = "/alert/stop"
CUT_S = 5.5
APPLY_S = 2.0  # configApplyMs


def configuration(version, service):
    return {
        "version": version,
        "routes": [{
            "name": "r-stop", "host": HOST, "prefix": "/alert/", "kind": "safe",
            "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": service,
            "maxAttempts": 2, "anonymousAccess": False, "sessionAffinity": False,
        }],
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 110,
                      "protocol": "h1", "tls": False} for name in ("relay-old", "relay-new")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = standins.Fleet(record)
        self.sent = 0

    async def configure(self, version, service):
        await self.fleet.store.put("op", "config", configuration(version, service))
        self.record.add(f"version {version} is acknowledged: the route goes to {service}")

    async def send(self, entry):
        self.sent += 1
        return await standins.call(
            self.record, entry, f"{self.sent:016x}", method="GET", path=PATH, host=HOST, body=b"",
            fields={"X-Balsamloft-Request-Deadline": "1500"})

    async def run(self):
        await self.fleet.start_store()
        await self.configure(3, "relay-old")
        for service in ("relay-old", "relay-new"):
            for number in range(2):
                await self.fleet.start_engine(id=f"i-{service}-{number}", service=service,
                                              zone="hall", slots=6, answers="call", work_s=0.015)
        links = []
        entries = []
        for number in range(1, 4):
            store = None
            if number < 3:
                links.append(standins.Link(self.fleet.store))
                await links[-1].start("127.0.0.1")
                store = links[-1].address
            entries.append(await self.fleet.start_entry(f"front-hall-{number}", "hall", store))
        for entry in entries:
            if not await standins.until(entry.is_ready, 15):
                return 2
        await asyncio.sleep(12)  # the entries know each other and follow each other
        if (await self.send(entries[2])).status != 200:
            return 2
        if TROUBLE:
            self.record.add("front-hall-1 and front-hall-2 are cut off from the store")
            for link in links:
                link.whole.clear()
        cut_at = time.monotonic()
        await asyncio.sleep(0.2)
        await self.configure(7, "relay-new")
        acknowledged = time.monotonic()
        await asyncio.sleep(APPLY_S + 0.3)
        late = []
        while time.monotonic() - cut_at < CUT_S:
            at = time.monotonic() - acknowledged
            answer = await self.send(entries[2])
            await asyncio.sleep(0.05)
            if any("relay-old" in each["engine"] for each in self.fleet.runs(answer.request)):
                late.append(at)
                self.record.add(f"CONFIG: {answer.request}, sent to front-hall-3 {at:.2f} s after the "
                                "acknowledgement, ran at the old service")
        for link in links:
            link.whole.set()
        self.record.add(f"requests that ran at the old service: {len(late)}")
        return 1 if late else 0


if __name__ == "__main__":
    standins.run_case(Case, HERE / "record.txt")
