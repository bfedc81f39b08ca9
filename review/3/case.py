"""Ad-posts wait in the admission queue while an operator reloads changes of the settings, a second apart."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

SECONDS = 16
HOUSEHOLDS = 14
# Some households post ads; all ask for parts of clips on three connections.
POSTING = 4
GROUP = 17
PATIENCE_MS = {"video-part": 5000, "ad-post": 3000}
# "230 to 370 ms to send on average".
SERVICE_S = 0.3
# The operator tunes two classes, one after the other, and again some seconds later.
ROUNDS = 2
CHANGES = [("ad-post", "promiseUs", 10_000), ("small-object", "promiseUs", 10_000)]
BETWEEN_RELOADS_S = 1.0
BETWEEN_ROUNDS_S = 4.0


class Service:
    """The caches, the parent and the ad store, and what they ran."""

    def __init__(self, run):
        self.run, self.ran, self.sent, self.misfits = run, {}, {}, []

    async def answer(self, request):
        sent = self.sent.get(request["id"])
        got = (request["c"], request["k"], request["p"], request.get("i"), request["body"])
        if sent != got:
            self.misfits.append(f"call {request['id']}: the client sent {sent}, a server got {got}")
            self.run.record(f"MISFIT: {self.misfits[-1]}")
        await asyncio.sleep(SERVICE_S)
        if request["c"] == "ad-post":
            self.ran.setdefault(request["i"], []).append(now_ms())
            return "ACK", f"sum=w1,t0={now_ms():.0f}", b"posted"
        return "ACK", f"sum=c1,t0={now_ms():.0f}", b"content of " + request["k"].encode()


class Household:
    """One client address: three connections with parts of a clip, and perhaps one with ad-posts."""

    def __init__(self, run, proxy, service, number):
        self.kinds = ["video-part"] * 3 + ["ad-post"] * (number < POSTING)
        self.run, self.proxy, self.service = run, proxy, service
        self.address, self.count, self.posts = f"127.0.0.{10 + number}", 0, []

    async def request(self, kind):
        self.count += 1
        name = f"{self.address} {kind} {self.count}"
        call, item, key, body = call_id(name), call_id(f"{kind} object {name}"), None, b""
        headers = [("X-Call-Id", call), ("X-Patience-Ms", PATIENCE_MS[kind]), ("X-Set", GROUP)]
        if kind == "ad-post":
            key, body = hashlib.md5(name.encode()).hexdigest(), f"ad of {name}".encode()
            headers.append(("X-Dedupe-Key", key))
            method, target, part = "PUT", f"/ops/{kind}/{item}", "0"
        else:
            headers.append(("X-Heap-Kb", 400))
            method, target, part = "GET", f"/ops/{kind}/{item}/slice-{self.count}", str(self.count)
        self.service.sent[call] = (kind, item, part, key, body)
        sent = now_ms()
        try:
            status, _, content = await http(self.proxy.listen, method, target, headers, body,
                                            timeout=PATIENCE_MS[kind] / 1000 + 1, source=self.address)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, content = 0, repr(error).encode()
        self.run.record(f"{name} {call}: {status} {content!r} after {now_ms() - sent:.0f} ms")
        if kind == "ad-post":
            self.posts.append((name, key, status, content))
        return status

    async def connection(self, kind, until):
        while now_ms() < until:
            if await self.request(kind) == 503:
                await asyncio.sleep(0.3)

    async def live(self, until):
        await asyncio.gather(*(self.connection(kind, until) for kind in self.kinds))


async def tune(run, proxy, config):
    """Writes each change to the file and sends SIGHUP, as the operator's page says."""
    for _ in range(ROUNDS):
        for name, field, step in CHANGES:
            settings = next(c for c in config["settings"]["classes"] if c["name"] == name)
            settings[field] += step
            proxy.config_path.write_text(json.dumps(config))
            run.record(f"the operator sets {name}.{field} to {settings[field]}")
            proxy.signal(signal.SIGHUP)
            await asyncio.sleep(BETWEEN_RELOADS_S)
        await asyncio.sleep(BETWEEN_ROUNDS_S)


async def scenario(run):
    service = Service(run)
    boxes = [Cache(name, service.answer, run.record) for name in ("cache-1", "cache-2", "parent", "origin")]
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

    households = [Household(run, proxy, service, number) for number in range(HOUSEHOLDS)]
    until = now_ms() + SECONDS * 1000
    live = asyncio.gather(*(household.live(until) for household in households))
    await asyncio.sleep(4)
    if TROUBLE:
        await tune(run, proxy, config)
    await live

    posts = [post for household in households for post in household.posts]
    served = [post for post in posts if post[2] == 200]
    lost = [post for post in served if len(service.ran.get(post[1], [])) != 1 or post[3] != b"posted"]
    summary = (f"ad-posts {len(posts)}, answered as served {len(served)}, of these not run once or with "
               f"another answer {len(lost)}; requests that no client sent in this form {len(service.misfits)}")
    run.record(summary)
    print(summary)
    breaks = []
    if service.misfits:
        breaks.append(f"{len(service.misfits)} requests reached a server in a form that no client sent, the "
                      f"first: {service.misfits[0]}")
    if lost:
        name, _, status, content = lost[0]
        breaks.append(f"{len(lost)} ad-posts were answered as served and never ran, the first: {name}, "
                      f"answered {status} {content!r}")
    if not proxy.alive():
        breaks.append("the proxy ended")
    return breaks


if __name__ == "__main__":
    play(__file__, scenario)
