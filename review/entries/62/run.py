"""Issue 62: a key that was taken away works again at instances that start after a drill of the store.

Three entries of one zone. A version takes a key away; more than revokeMs later the store comes back
from a copy of before that version, and the first two entries are killed and start again. The third
entry has the newer version all the while. The operator writes it again 1.5 s after the drill.
TROUBLE=0: the two entries are killed and start again, without the drill.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "common"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "floor.example"
PATH = "/alert/stop"
REVOKE_S = 5.0
WRITTEN_AGAIN_S = 1.5
KEPT, TAKEN = {"name": "line-a", "apiKeys": ["key-a"]}, {"name": "line-b", "apiKeys": ["key-b"]}


def configuration(version, tenants):
    return {
        "version": version,
        "routes": [{
            "name": "r-stop", "host": HOST, "prefix": "/alert/", "kind": "unsafe",
            "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": "alert-relay",
            "maxAttempts": 1, "anonymousAccess": False, "sessionAffinity": False,
        }],
        "services": [{"name": "alert-relay", "healthPath": "/health", "maxConnections": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": tenants,
    }


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = standins.Fleet(record)
        self.sent = 0
        self.entries = []

    async def configure(self, version, tenants):
        await self.fleet.store.put("op", "config", configuration(version, tenants))
        self.record.add(f"version {version} is acknowledged")

    async def send(self, entry, key):
        self.sent += 1
        return await standins.call(
            self.record, entry, f"{self.sent:016x}", path=PATH, host=HOST, body=b"line 4 stops",
            fields={"X-Balsamloft-Request-Deadline": "1500", "X-Balsamloft-Key": key})

    async def restart(self, entry):
        self.record.add(f"{entry.name} is killed")
        entry.process.kill()
        await entry.process.wait()
        await asyncio.sleep(0.2)
        await self.fleet.start_again(entry)

    async def write_again(self):
        await asyncio.sleep(WRITTEN_AGAIN_S)
        await self.configure(7, [KEPT])

    async def run(self):
        store = self.fleet.store
        store.era = 1
        await self.fleet.start_store()
        await self.configure(3, [KEPT, TAKEN])
        for number in range(3):
            await self.fleet.start_engine(id=f"i-{number:04x}", service="alert-relay", zone="hall",
                                          slots=6, answers="call", work_s=0.015)
        for number in range(1, 4):
            self.entries.append(await self.fleet.start_entry(f"front-hall-{number}", "hall"))
        for entry in self.entries:
            if not await standins.until(entry.is_ready, 15):
                return 2
        await asyncio.sleep(8)
        copy = store.copy()
        await asyncio.sleep(0.5)
        await self.configure(7, [KEPT])
        acknowledged = time.monotonic()
        await asyncio.sleep(REVOKE_S + 1)
        for entry in self.entries:
            if (await self.send(entry, "key-b")).status != 401:
                return 2
        tasks = []
        if TROUBLE:
            await store.restore(copy)
            self.record.add("the store comes back from a copy 6.5 s old")
            tasks.append(asyncio.create_task(self.write_again()))
        tasks += [asyncio.create_task(self.restart(each)) for each in self.entries[:2]]
        end = time.monotonic() + 5
        sent = []
        while time.monotonic() < end:
            for entry in self.entries:
                at = time.monotonic() - acknowledged
                sent.append((at, entry.name, (await self.send(entry, "key-b")).request))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.3)
        ran = [each for each in sent if self.fleet.runs(each[2])]
        for at, name, request in ran:
            self.record.add(f"CONFIG: {request}, sent to {name} {at:.2f} s after its key was taken "
                            "away, ran")
        self.record.add(f"requests that ran with the key taken away: {len(ran)} of {len(sent)}")
        return 1 if ran else 0


if __name__ == "__main__":
    standins.run_case(Case, HERE / "record.txt")
