"""Households ask for parts of two clips each, of two groups. A busy spell: many more of them at once."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

SECONDS = 75
# The give-up time of video-part (BRIEF), which the clients state.
PATIENCE_MS = 5000
# Households that ask at once, each on one connection a clip: 80 connections in the busy spell, of the 341 (a
# third of 1,024 descriptors) that clients may hold.
HOUSEHOLDS = 40 if TROUBLE else 6
GROUPS = (17, 23)
# "230 to 370 ms to send on average".
SERVICE_S = 0.3


class Household:
    """One client address that asks for the parts of two clips, of two groups."""

    def __init__(self, run, proxy, number):
        self.run, self.proxy, self.address = run, proxy, f"127.0.0.{10 + number}"
        self.random = random.Random(number)
        self.answered, self.unanswered, self.count = {}, [], 0

    async def request(self, group):
        self.count += 1
        name = f"{self.address} group {group} request {self.count}"
        call = call_id(name)
        headers = [("X-Call-Id", call), ("X-Patience-Ms", PATIENCE_MS), ("X-Set", group), ("X-Heap-Kb", 400)]
        target = f"/ops/video-part/{call_id(f'clip {group}')}/slice-{self.count % 60000}"
        sent = now_ms()
        try:
            # One second more than the patience, so that a late answer isn't taken for none.
            status, _, _ = await http(self.proxy.listen, "GET", target, headers,
                                      timeout=PATIENCE_MS / 1000 + 1, source=self.address)
            self.answered[status] = self.answered.get(status, 0) + 1
            self.run.record(f"{name} {call}: {status} after {now_ms() - sent:.0f} ms")
            return status
        except NotTaken as error:
            self.run.record(f"{name} {call}: not taken, {error}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.unanswered.append(f"{name} ({call})")
            self.run.record(f"{name} {call}: NO ANSWER after {now_ms() - sent:.0f} ms {error!r}")

    async def connection(self, group, until):
        await asyncio.sleep(self.random.uniform(0, 1))
        while now_ms() < until and self.proxy.alive():
            if await self.request(group) == 503:
                await asyncio.sleep(0.3)

    async def live(self, until):
        await asyncio.gather(*(self.connection(group, until) for group in GROUPS))


async def scenario(run):
    async def answer(request):
        await asyncio.sleep(SERVICE_S)
        return "ACK", f"sum=a{request['p']},t0={now_ms():.0f}", b"part " + request["p"].encode()

    boxes = [Cache(name, answer, run.record) for name in ("cache-1", "cache-2", "parent", "origin")]
    for box in boxes:
        await box.start()
    bulletin = Bulletin(run.record)
    await bulletin.start()
    listed = [endpoint("s-000000c1", boxes[0].port, "town", "box"),
              endpoint("s-000000c2", boxes[1].port, "town", "box"),
              endpoint("s-000000a0", boxes[2].port, "hub", "parent"),
              endpoint("s-000000b0", boxes[3].port, "hub", "origin")]
    # deploy/admission.json with the limit of the page's own test fleet: 8 requests at once.
    admission = json.loads((ROOT / "deploy/admission.json").read_text())
    admission["limit"] = {"first": 8, "least": 8, "most": 8, "adaptive": False}
    file = run.folder / "admission.json"
    file.write_text(json.dumps(admission))
    config = node_config("edge-1", free_port(), bulletin.port, listed)
    proxy = await Proxy(run, "edge-1", config, ["--admission", str(file)]).start()

    households = [Household(run, proxy, number) for number in range(HOUSEHOLDS)]
    until = now_ms() + SECONDS * 1000
    await asyncio.gather(*(household.live(until) for household in households))

    answered = {}
    for household in households:
        for status, count in household.answered.items():
            answered[status] = answered.get(status, 0) + count
    unanswered = [name for household in households for name in household.unanswered]
    panics = [line for line in proxy.log().splitlines() if "panicked" in line]
    summary = f"answered {answered}, unanswered {len(unanswered)}, lines with a panic in the log {len(panics)}"
    run.record(summary)
    for line in panics[-20:]:
        run.record(f"edge-1 log: {line}")
    print(summary)
    breaks = []
    if not proxy.alive():
        breaks.append(f"the proxy's process ended by itself, with status {proxy.process.returncode} (-6 is SIGABRT)")
    if unanswered:
        breaks.append(f"{len(unanswered)} requests got no answer although their clients waited for "
                      f"{PATIENCE_MS} ms and more, the first: {unanswered[0]}")
    return breaks


if __name__ == "__main__":
    play(__file__, scenario)
