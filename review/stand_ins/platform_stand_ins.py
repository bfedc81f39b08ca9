"""Stand-ins for the platform, and the start and stop of the project's own programs.

Everything runs in one asyncio loop, on loopback addresses and the real clock, and uses the standard library
only. A `Run` ends every process that it started and removes its temporary folder.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The command of `run` in deploy/balancer.toml; operator files are given as further options.
RUN = "exec target/release/edge-proxy serve"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now_ms():
    return time.time() * 1000.0


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """`record.txt`: what was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.time()

    def __call__(self, text):
        self.file.write(f"{time.time() - self.start:9.3f} {text}\n")


class Cache:
    """A pop cache, parent or origin that follows the protocol page.

    `answer(request)` is a coroutine that returns `(word, fields, body)`, or None for no answer. A request is
    a dict of the line's fields with `id`, `body` and `at` (arrival, Unix ms). DROP cancels it.
    """

    def __init__(self, name, answer, record, host="127.0.0.1"):
        self.name, self.answer, self.record, self.host = name, answer, record, host
        self.port, self.server, self.writers = 0, None, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends as a dying process does: no further connections, and the open ones are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        tasks = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[:1] == ["DROP"]:
                    self.record(f"{self.name} got DROP {words[1]}")
                    if task := tasks.pop(words[1], None):
                        task.cancel()
                elif words[:1] == ["PING"]:
                    writer.write(f"{words[1]} READY\r\n".encode())
                elif words[:1] == ["GET"]:
                    _, call, fields, length = words
                    body = await reader.readexactly(int(length) + 2)
                    request = dict(field.split("=", 1) for field in fields.split(","))
                    request |= {"id": call, "body": body[:-2], "at": now_ms()}
                    self.record(f"{self.name} got GET {call} {fields}")
                    tasks[call] = asyncio.create_task(self.reply(writer, call, request, tasks))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def reply(self, writer, call, request, tasks):
        reply = await self.answer(request)
        tasks.pop(call, None)
        if reply is None:
            return
        word, fields, body = reply
        self.record(f"{self.name} answers {call} {word} {fields}")
        writer.write(f"{call} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")


class Bulletin:
    """The discovery service: numbered events as frames, and an empty frame each second."""

    def __init__(self, record):
        self.record, self.port, self.frames, self.last, self.new = record, 0, [], 1, None

    async def start(self):
        self.new = asyncio.Condition()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def publish(self, kind, payload):
        async with self.new:
            self.last += 1
            self.frames.append((self.last, kind, payload))
            self.new.notify_all()

    async def purge_object(self, item, issued_ms):
        self.record(f"bulletin publishes the purge of {item} issued={issued_ms}")
        await self.publish(3, struct.pack(">QQ", int(item, 16), int(issued_ms)))

    async def serve(self, reader, writer):
        try:
            sent = struct.unpack(">Q", await reader.readexactly(8))[0]
            while True:
                for number, kind, payload in self.frames:
                    if number > sent:
                        writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
                        sent = number
                writer.write(struct.pack(">IQB", 9, sent, 0))
                await writer.drain()
                async with self.new:
                    try:
                        await asyncio.wait_for(self.new.wait(), 1.0)
                    except asyncio.TimeoutError:
                        pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass


class PurgeTarget:
    """A cache server's purge address, by the call that src/purge/wire.rs documents: applies purges in the order of
    their numbers, skips repeats, stops at a gap, and answers with the highest number applied.

    `remove(selector, issued_ms)` drops the copies that a purge covers; the selector `everything` is a cutoff.
    """

    def __init__(self, name, remove, record, host):
        self.name, self.remove, self.record, self.host, self.last = name, remove, record, host, 0

    async def start(self, port):
        await asyncio.start_server(self.serve, self.host, port)

    def apply(self, batch):
        cutoff = batch.get("floor")
        if cutoff and cutoff["seq"] >= self.last and batch["from"] == cutoff["seq"] + 1:
            self.record(f"{self.name} applies the cutoff {cutoff}")
            self.remove("everything", cutoff["issued_ms"])
            self.last = cutoff["seq"]
        for purge in batch["entries"]:
            if purge["seq"] <= self.last:
                self.record(f"{self.name} skips {purge}: it has applied number {purge['seq']} before")
            elif purge["seq"] == self.last + 1:
                self.record(f"{self.name} applies {purge}")
                self.remove(purge["sel"], purge["issued_ms"])
                self.last = purge["seq"]
            else:
                break

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = next(int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length"))
            self.apply(json.loads(await reader.readexactly(length)))
            body = json.dumps({"applied": self.last}).encode()
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def endpoint(uid, port, zone, kind, host="127.0.0.1"):
    return {"uid": uid, "endpoint": f"{host}:{port}", "az": zone, "model": kind, "pod_group": 0,
            "state": "Ready", "capacity_hint": 4, "boot_ms": 0}


def node_config(name, listen, bulletin, endpoints, mgmt=None):
    """The settings of examples/config.json, with the addresses of this run."""
    config = json.loads((ROOT / "examples/config.json").read_text())
    config.update(name=name, listen=f"127.0.0.1:{listen}", bulletin=f"127.0.0.1:{bulletin}")
    if mgmt:
        config["mgmt"] = f"127.0.0.1:{mgmt}"
    config["known"]["items"][0]["roster"]["targets"] = endpoints
    return config


class Proxy:
    """One process of the project's proxy, started with the command of the deploy file."""

    def __init__(self, run, name, config, options=()):
        self.run, self.name, self.options = run, name, list(options)
        self.config_path = run.folder / f"{name}.json"
        self.config_path.write_text(json.dumps(config))
        self.listen = int(config["listen"].split(":")[1])
        self.mgmt = int(config["mgmt"].split(":")[1]) if "mgmt" in config else None
        self.process = None

    async def start(self, tmp=None, inherited=None, mgmt=None):
        """Starts a process and waits until it serves.

        As at an upgrade, it may share the folder `tmp` and the listening socket `inherited` with another one, and
        have another admin port than the configuration's.
        """
        if tmp is None:
            tmp = self.run.folder / f"{self.name}-tmp"
            shutil.rmtree(tmp, ignore_errors=True)
            tmp.mkdir()
        command = " ".join([RUN, *self.options])
        env = os.environ | {"NODE_NAME": self.name, "NODE_LISTEN": f"127.0.0.1:{self.listen}",
                            "NODE_CONFIG": str(self.config_path), "TMPDIR": str(tmp)}
        descriptors = []
        if mgmt:
            self.mgmt, env["NODE_MGMT"] = mgmt, f"127.0.0.1:{mgmt}"
        if inherited:
            descriptors, env["NODE_INHERITED_FD"] = [inherited.fileno()], str(inherited.fileno())
        log = open(self.run.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=descriptors)
        self.run.processes.append(self.process)
        self.run.record(f"{self.name} started: {command.replace(str(self.run.folder), 'TMP')}")
        deadline = time.time() + 10
        while time.time() < deadline:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended at its start")
            try:
                # The listening socket of an upgrade may be answered by the other process.
                port, call = (self.mgmt, "/healthcheck") if inherited else (self.listen, "/alive")
                status, _, _ = await http(port, "GET", call, timeout=1)
                if status == 200:
                    return self
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def alive(self):
        return self.process.returncode is None

    def signal(self, number):
        self.run.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def log(self):
        return (self.run.folder / f"{self.name}.log").read_text(errors="replace")


class NotTaken(OSError):
    """No connection came up, so no request was taken."""


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Run:
    """One run of a case: its folder, record and processes."""

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve().parent
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, scenario, limit_s=110):
    """Runs `scenario(run)`, which returns a list of breaks of the rule, and exits with the case's status."""

    async def main():
        run = Run(case)
        run.record(f"TROUBLE={int(TROUBLE)}")
        try:
            if not (ROOT / "target/release/edge-proxy").exists():
                raise CannotRun("target/release/edge-proxy is missing: run the build first")
            breaks = await asyncio.wait_for(scenario(run), limit_s)
        except CannotRun as reason:
            run.record(f"could not run: {reason}")
            print(f"could not run: {reason}")
            return NOT_RUN
        except asyncio.TimeoutError:
            run.record("could not run: the scenario took too long")
            return NOT_RUN
        finally:
            await run.close()
        for line in breaks:
            run.record(f"BROKEN: {line}")
            print(f"broken: {line}")
        run.record("the rule was broken" if breaks else "the rule held")
        print("the rule was broken" if breaks else "the rule held")
        return BROKEN if breaks else HELD

    try:
        status = asyncio.run(main())
    except Exception as error:  # a fault of the case itself
        print(f"could not run: {error!r}", file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)


async def read_response(reader):
    """Reads one HTTP/1.1 response: its status, headers in lower case and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    headers = {name.strip().lower(): value.strip()
               for name, _, value in (line.partition(":") for line in head[1:] if line)}
    length = 0 if status == 304 else int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length) if length else b""


async def http(port, method, target, headers=(), body=b"", timeout=5, source=None):
    """One call on a connection of its own. `source` is the client's loopback address."""
    local = (source, 0) if source else None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=local)
    except OSError as error:
        raise NotTaken(str(error)) from error
    try:
        lines = [f"{method} {target} HTTP/1.1", "Host: origin.svc", *(f"{k}: {v}" for k, v in headers)]
        if body or method in ("PUT", "POST"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        return await asyncio.wait_for(read_response(reader), timeout)
    finally:
        writer.close()


def call_id(text):
    return hashlib.sha256(text.encode()).hexdigest()[:16]
