"""Sellers remove listings, each by a fleet purge, while the leader is replaced by a new version."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))
from platform_stand_ins import *  # noqa: E402,F403

LISTINGS = 70
# Two submitters; together about "a purge every 400 ms" (docs/fleet-purges.md).
SUBMIT_EVERY_S = (0.5, 1.1)
UPGRADE_AT_S, OVERLAP_S, SUBMIT_S = 4, 8, 17
# "From 2 s after the yes, news of the bulletin binds" (LATER). Purges don't come by the bulletin here; the summary
# tells all the same how many of the numbers given twice were given later than that.
BULLETIN_BINDS_MS = 2000
# "From 500 ms after" a purge the rule binds; a removed listing is read a little later.
BINDS_AFTER_MS = 500
READ_AFTER_S = 0.6
# All of them are read again once `hold_ms` (6 s) is over and every target has long answered.
READ_AGAIN_AFTER_S = 8


class Box:
    """A pop cache that keeps what it is asked for, with its purge address; its copies carry a tag."""

    def __init__(self, run, name, host):
        self.run, self.copies = run, {}
        self.cache = Cache(name, self.answer, run.record, host)
        self.purges = PurgeTarget(name, self.remove, run.record, host)
        # What its purge address applied: the selector, the issue time and when.
        self.removed = []

    async def answer(self, request):
        await asyncio.sleep(0.02)
        item, limit = request["k"], int(request.get("agelim", 0))
        copy = self.copies.get(item)
        if copy is None or (limit and now_ms() - copy > limit):
            if not request.get("next", "s-000000c").startswith(("s-000000a", "s-000000b")):
                return "NOENT", "-", b""
            await asyncio.sleep(0.04)
            copy = now_ms()
            if request.get("admit", "0") != "0":
                self.copies[item] = copy
        return "ACK", f"sum=t{copy:.0f},t0={copy:.0f},tags=listing-{item}", f"{copy:.3f}".encode()

    def in_force_after_ms(self, item, purge):
        """How long after its answer a purge was in force here, by itself or by a purge of everything."""
        applied = [at for selector, issued_ms, at in self.removed if issued_ms >= purge["issued_ms"]
                   and selector in ("everything", f"tag:listing-{item}")]
        return min(applied) - purge["answered"] if applied else float("inf")

    def remove(self, selector, issued_ms):
        self.removed.append((selector, issued_ms, now_ms()))
        for item, generated in list(self.copies.items()):
            if generated <= issued_ms and selector in ("everything", f"tag:listing-{item}"):
                del self.copies[item]


class Client:
    """A client that reads listings on one connection, which stays open as long as the proxy keeps it open."""

    def __init__(self, name, service):
        self.name, self.service, self.connection, self.reading, self.count = name, service, None, asyncio.Lock(), 0

    async def read(self, item):
        async with self.reading:
            self.count += 1
            lines = [f"GET /ops/small-object/{item}/slice-0 HTTP/1.1", "Host: origin.svc",
                     f"X-Call-Id: {call_id(f'{self.name} {self.count}')}", "X-Patience-Ms: 3000", "X-Set: 17"]
            sent = now_ms()
            for _ in range(2):
                if self.connection is None:
                    self.connection = await asyncio.open_connection("127.0.0.1", self.service.port)
                reader, writer = self.connection
                try:
                    writer.write("\r\n".join([*lines, "", ""]).encode())
                    status, answer, body = await asyncio.wait_for(read_response(reader), 4)
                    break
                except (ConnectionError, asyncio.IncompleteReadError):
                    # It crossed a close of the connection: "goes again on a new connection, once".
                    self.connection = None
            else:
                raise CannotRun("a read was not taken")
            if answer.get("connection", "").lower() == "close":
                writer.close()
                self.connection = None
        self.service.check_read(self.name, item, sent, status, body)


class Service:
    """The listings of the sellers, read through the proxy and purged at its leader."""

    def __init__(self, run, port, admin):
        self.run, self.port, self.admin, self.next, self.purged = run, port, admin, 0, {}
        self.items = [call_id(f"listing {number}") for number in range(LISTINGS)]
        self.clients, self.later, self.purged_reads = [Client("client 1", self)], [], []

    def check_read(self, client, item, sent, status, body):
        self.run.record(f"{client} reads {item}: {status}, copy of {body.decode() or '-'}")
        purge, generated = self.purged.get(item), float(body) if status == 200 else None
        if purge and generated and generated <= purge["issued_ms"] and sent >= purge["answered"] + BINDS_AFTER_MS:
            self.purged_reads.append(f"listing {item}, removed by purge {purge['seq']} issued at "
                                     f"{purge['issued_ms']:.0f}, was read {sent - purge['answered']:.0f} ms after the "
                                     f"purge's answer from the copy of {generated:.0f}")
            self.run.record(f"PURGED COPY: {self.purged_reads[-1]}")

    async def read_later(self, item):
        await asyncio.sleep(READ_AFTER_S)
        for client in self.clients:
            await client.read(item)

    async def submitter(self, name, until):
        """Removes one listing after another at its address of the leader; tries again where a call fails."""
        chance = random.Random(name)
        while now_ms() < until and self.next < LISTINGS:
            item, self.next = self.items[self.next], self.next + 1
            while item not in self.purged:
                port = self.admin[name]
                try:
                    status, _, body = await http(port, "POST", "/purges",
                                                 body=json.dumps({"sel": f"tag:listing-{item}"}).encode())
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                    self.run.record(f"submitter {name}: no answer at {port} ({error!r}); moves to the new address")
                    self.admin[name] = self.admin["new"]
                    await asyncio.sleep(0.1)
                    continue
                self.run.record(f"submitter {name} removes {item} at {port}: {status} {body.decode()}")
                if status == 200:
                    self.purged[item] = json.loads(body) | {"answered": now_ms()}
                    self.later.append(asyncio.create_task(self.read_later(item)))
            await asyncio.sleep(chance.uniform(*SUBMIT_EVERY_S))


def listening_socket():
    """The clients' listening socket, which the platform holds."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(256)
    return listener


async def scenario(run):
    boxes = [Box(run, f"cache-{number}", f"127.0.0.{30 + number}") for number in range(4)]
    purge_port = free_port()
    for box in boxes:
        await box.cache.start()
        await box.purges.start(purge_port)
    origin = Box(run, "origin", "127.0.0.40")
    await origin.cache.start()
    bulletin = Bulletin(run.record)
    await bulletin.start()
    uids = ["s-000000c1", "s-000000c2", "s-000000c3", "s-000000a0"]
    listed = [endpoint(uid, box.cache.port, "hub" if uid == "s-000000a0" else "town",
                       "parent" if uid == "s-000000a0" else "box", box.cache.host)
              for uid, box in zip(uids, boxes)]
    listed.append(endpoint("s-000000b0", origin.cache.port, "hub", "origin", origin.cache.host))
    # deploy/purges.json with the caches' purge port of this run, and no second proxy.
    purges = json.loads((ROOT / "deploy/purges.json").read_text())
    purges.update(roster_port=purge_port, targets=[])
    file = run.folder / "purges.json"
    file.write_text(json.dumps(purges))

    listener, tmp = listening_socket(), run.folder / "tmp"
    tmp.mkdir()
    port, old_admin, new_admin = listener.getsockname()[1], free_port(), free_port()
    config = node_config("edge-1", port, bulletin.port, listed, old_admin)
    old, new = (Proxy(run, "edge-1", config, ["--purges", str(file)]) for _ in range(2))
    await old.start(tmp, listener, old_admin)

    service = Service(run, port, {"a": old_admin, "b": old_admin, "new": new_admin if TROUBLE else old_admin})
    for item in service.items:
        await service.clients[0].read(item)
    until, yes_ms = now_ms() + SUBMIT_S * 1000, float("inf")
    submitters = asyncio.gather(*(service.submitter(name, until) for name in ("a", "b")))
    await asyncio.sleep(UPGRADE_AT_S)
    if TROUBLE:
        # docs/second-address.md, "A new version". One submitter follows at once, the other one when its calls fail.
        await new.start(tmp, listener, new_admin)
        yes_ms = now_ms()
        service.admin["a"] = new_admin
        service.clients.append(Client("client 2", service))
        await asyncio.sleep(OVERLAP_S)
        old.signal(signal.SIGTERM)
    await submitters
    await asyncio.gather(*service.later)
    await asyncio.sleep(READ_AGAIN_AFTER_S)
    if TROUBLE and old.alive():
        raise CannotRun("the old process has not ended")
    for item in service.purged:
        await service.clients[0].read(item)

    status = json.loads((await http(new_admin if TROUBLE else old_admin, "GET", "/purges"))[2])
    run.record(f"GET /purges: last {status['last']} done {status['done']} targets {status['targets']}")
    numbers = [purge["seq"] for purge in service.purged.values()]
    doubled = sorted({number for number in numbers if numbers.count(number) > 1})
    later = sum(purge["seq"] in doubled and purge["answered"] > yes_ms + BULLETIN_BINDS_MS
                for purge in service.purged.values()) // 2
    late = [f"purge {purge['seq']} of listing {item} was not in force at {box.cache.name} for "
            f"{box.in_force_after_ms(item, purge):.0f} ms after its answer"
            for item, purge in service.purged.items() for box in boxes
            if box.in_force_after_ms(item, purge) > BINDS_AFTER_MS]
    for line in late:
        run.record(f"LATE: {line}")
    summary = (f"purges answered with 200: {len(numbers)}; numbers given to two purges: {len(doubled)}, {later} of "
               f"them later than 2 s after the yes; purges not in force at a target within {BINDS_AFTER_MS} ms: "
               f"{len(late)}; reads from a purged copy: {len(service.purged_reads)}; `done` of the leader "
               f"{status['done']} of {status['last']}")
    run.record(summary)
    print(summary)
    breaks = []
    if doubled:
        breaks.append(f"two leaders gave numbers {doubled} to two purges each")
    if late:
        breaks.append(f"{len(late)} times a purge was not in force at a reachable target, the first: {late[0]}")
    if service.purged_reads:
        breaks.append(f"{len(service.purged_reads)} reads from a copy older than a purge, the first: "
                      f"{service.purged_reads[0]}")
    return breaks


if __name__ == "__main__":
    play(__file__, scenario)
