"""Stand-ins of the platform for the cases of the second review.

One small deployment on loopback addresses and the real clock: the engine with its cores, the records service,
the directory and callers. They follow the protocol pages; where a page is silent they behave like a sound
peer. The program runs as a process of its own, started with the `run` command of deploy/balancer.toml.

A case calls `run_case(folder, make_deployment, play)`; `play(deployment, trouble)` is a coroutine and
returns a list of breaches.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_CASE_SECONDS = 110.0
# Exit codes; run.sh turns them into its own, so that no other end of this process looks like a broken rule.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def now_ms():
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run, with the Unix time in milliseconds; written to record.txt."""

    def __init__(self):
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now_ms():.1f} {text}")

    def save(self, path):
        path.write_text("\n".join(self.lines) + "\n")


async def close_writer(writer):
    writer.close()
    try:
        await writer.wait_closed()
    except OSError:
        pass


def port_of(server):
    return server.sockets[0].getsockname()[1]


def address_of(server):
    return f"127.0.0.1:{port_of(server)}"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Run:
    """A run of the engine: alternates between work on the cores and calls to the records service."""

    def __init__(self, name, class_name, body):
        self.name = name
        self.class_name = class_name
        self.body = body
        fields = dict(word.split("=") for word in body.decode().split() if "=" in word)
        calls = int(fields.get("calls", 0))
        work = float(fields.get("work", 100)) / 1000.0  # seconds on a core of speed 1
        self.parts = [work / (calls + 1)] * (calls + 1)
        self.started = time.monotonic()
        self.on_core = True
        self.paused = False
        self.call = None  # the number of the notice that asked for the call

    def elapsed_ms(self):
        return (time.monotonic() - self.started) * 1000.0


class Engine:
    """The engine at one address: owns the cores, which all runs that are not at a call share evenly.

    `speed`: of a core."""

    tick = 0.005

    def __init__(self, record, cores, speed=1.0):
        self.record = record
        self.cores = cores
        self.speed = speed
        self.machine = [self]  # the addresses of one engine, which share its cores
        self.runs = {}
        self.over = set()  # requests that were answered or given up
        self.run_log = []  # (time in ms, name, class, body) of each run begun
        self.notices = []
        self.writer = None
        self.started = time.monotonic()
        self.busy = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.task = asyncio.create_task(self.work())

    def running(self):
        return [run for run in self.runs.values() if run.on_core and not run.paused]

    def load(self):
        return sum(len(engine.running()) for engine in self.machine)

    async def work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(self.tick)
            now = time.monotonic()
            seconds, last = now - last, now
            load = self.load()
            self.busy += (min(1.0, load / self.cores) - self.busy) * min(1.0, seconds / 0.5)
            share = self.speed * min(1.0, self.cores / max(1, load))
            for run in self.running():
                run.parts[0] -= seconds * share
                if run.parts[0] <= 0.0:
                    self.finish_part(run)

    def finish_part(self, run):
        run.parts.pop(0)
        if not run.parts:
            result = b"result of " + run.name.encode() + b" " + run.body
            self.end(run, "PASS", result)
        elif run.name in self.over:
            self.end(run, "KILLED")
        else:
            run.on_core = False
            body = b"call of " + run.name.encode()
            run.call = len(self.notices) + 1
            self.notify(f"NEED {{}} {run.name} {len(body)}\r\n", body)

    def end(self, run, end, result=b""):
        self.runs.pop(run.name, None)
        self.record.add(f"engine: DONE {run.name} {end}")
        self.notify(f"DONE {{}} {run.name} {end} {run.elapsed_ms():.0f} {len(result)}\r\n", result)

    def notify(self, head, body):
        message = head.format(len(self.notices) + 1).encode() + body + b"\r\n"
        self.notices.append(message)
        self.send(message)

    def send(self, message):
        if self.writer is not None:
            self.writer.write(message)

    def request_over(self, name):
        """The request was answered, or its caller has given it up."""
        self.over.add(name)
        run = self.runs.get(name)
        if run is not None and not run.on_core:
            self.end(run, "KILLED")

    async def serve(self, reader, writer):
        if self.writer is not None:
            self.writer.close()
        self.writer = writer
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if not words:
                    continue
                body = b""
                if words[0] in ("RUN", "FEED"):
                    body = await reader.readexactly(int(words[-1]))
                    await reader.readexactly(2)
                self.command(words, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if self.writer is writer:
            self.writer = None
        writer.close()

    def command(self, words, body):
        kind, name = words[0], words[1]
        run = self.runs.get(name)
        if kind == "ATTACH":
            self.send(f"HELLO LOADED {(time.monotonic() - self.started) * 1000:.0f}\r\n".encode())
            for notice in self.notices[int(name) :]:
                self.send(notice)
        elif kind == "RUN" and run is None:
            self.begin(Run(name, words[2], body))
        elif kind == "FEED" and run is not None and not run.on_core:
            run.on_core = True
        elif kind == "SKIP" and run is not None and run.call == int(words[2]) and not run.on_core:
            run.on_core = True
        elif kind == "HALT" and run is not None and run.on_core and not run.paused:
            if name in self.over:
                self.end(run, "KILLED")
            else:
                run.paused = True
                self.notify(f"DONE {{}} {name} KILLED {run.elapsed_ms():.0f} 0\r\n", b"")
        elif kind == "RESUME" and run is not None:
            run.paused = False
        elif kind == "STAT":
            self.send(f"STATS {name} {self.busy:.3f} {self.load()} 0.1 10\r\n".encode())
        elif kind == "TEST":
            self.send(f"TESTED {name} PASS\r\n".encode())

    def begin(self, run):
        if run.name in self.over:
            self.notify(f"DONE {{}} {run.name} NOOP 0 0\r\n", b"")
            return
        self.runs[run.name] = run
        self.run_log.append((now_ms(), run.name, run.class_name, run.body))
        self.record.add(f"engine: RUN {run.name} {run.class_name} {run.body.decode()}")


class Records:
    """The records service: a call takes `call_seconds`; one given up stays for `stays_for` at most."""

    def __init__(self, record, call_seconds=0.1, stays_for=0.2):
        self.record = record
        self.call_seconds = call_seconds
        self.stays_for = stays_for
        self.spans = []  # [begin, end or None] of each call held

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    async def serve(self, reader, writer):
        calls = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "OP":
                    await reader.readexactly(int(words[3]) + 2)
                    calls[words[1]] = asyncio.create_task(self.handle(words[1], writer))
                elif words[0] == "UNOP" and words[1] in calls:
                    calls.pop(words[1]).cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        for call in calls.values():
            call.cancel()
        writer.close()

    async def handle(self, name, writer):
        self.record.add(f"records: OP {name}")
        span = [time.monotonic(), None]
        self.spans.append(span)
        ends = span[0] + self.call_seconds
        try:
            await asyncio.sleep(self.call_seconds)
            span[1] = ends
            body = b"reply to " + name.encode()
            writer.write(f"{name} DONE {len(body)}\r\n".encode() + body + b"\r\n")
            self.record.add(f"records: DONE {name}")
        except asyncio.CancelledError:
            # A call given up stays in hand for a while.
            span[1] = min(ends, time.monotonic() + self.stays_for)
            self.record.add(f"records: given up {name}")

    def worst_mean(self, window, until):
        """The highest mean number of calls held over `window` seconds, and when that window ended."""
        edges = []
        for begin, end in self.spans:
            edges.append((begin, 1))
            edges.append((min(end or until, until), -1))
        if not edges:
            return 0.0, 0.0
        edges.sort()
        times, areas, counts = [edges[0][0]], [0.0], [0]
        for at, step in edges:
            areas.append(areas[-1] + counts[-1] * (at - times[-1]))
            counts.append(counts[-1] + step)
            times.append(at)

        def area(at):
            low, high = 0, len(times)
            while low < high:
                middle = (low + high) // 2
                low, high = (middle + 1, high) if times[middle] <= at else (low, middle)
            return 0.0 if low == 0 else areas[low - 1] + counts[low - 1] * (at - times[low - 1])

        means = [((area(at) - area(at - window)) / window, at) for at in times + [t + window for t in times]]
        return max(mean for mean in means if mean[1] <= until + 0.001)


async def read_http(reader):
    """Reads one HTTP message: its first line, its fields and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))


class Directory:
    """The directory: answers every report 204."""

    def __init__(self, record):
        self.record = record

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    async def serve(self, reader, writer):
        try:
            while True:
                await read_http(reader)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body

    def served(self):
        return self.status == 200

    def refused(self):
        return self.status in (429, 503)


NO_ANSWER = Answer(0, {}, b"")


class Caller:
    """A caller with connections that are kept alive; one request at a time on each."""

    def __init__(self, deployment, number=1):
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.idle = []
        self.count = 0

    def next_name(self):
        self.count += 1
        return f"{self.number:04x}{os.getpid() & 0xFFFF:04x}{self.count:08x}"

    def encode(self, name, class_name, body, accepted_at, key=None):
        lines = [
            f"POST /v1/{class_name} HTTP/1.1",
            "Host: app.svc",
            f"Trace-Id: {name}",
            f"Accepted-At-Ms: {accepted_at:.0f}",
            f"Client-No: {self.number}",
            "Reserve-Kb: 24.5",
            "Standing: 0.6250",
            f"Content-Length: {len(body)}",
        ]
        if key is not None:
            lines.append(f"Replay-Key: {key}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.deployment.listen_port)

    async def ask(self, class_name, body, key=None, give_up=None, fresh=False):
        """One try of a request; returns its answer, NO_ANSWER if there was none, None if nothing accepts it.

        `give_up`: seconds after which the caller stops waiting and closes the connection. `fresh`: on a new
        connection."""
        body = body.encode()
        for last_attempt in (False, True):
            is_new = fresh or last_attempt or not self.idle
            try:
                reader, writer = await self.connect() if is_new else self.idle.pop()
            except OSError:
                return None
            name = self.next_name()
            sent_at = now_ms()
            self.record.add(f"caller {self.number}: POST {name} {class_name} key={key} {body.decode()}")
            writer.write(self.encode(name, class_name, body, sent_at, key))
            try:
                line, fields, result = await asyncio.wait_for(read_http(reader), give_up)
            except asyncio.TimeoutError:
                self.record.add(f"caller {self.number}: gives up {name}")
                await close_writer(writer)
                self.deployment.request_over(name)
                return NO_ANSWER
            except (OSError, asyncio.IncompleteReadError):
                await close_writer(writer)
                # A request that crosses the close of a resting connection within 50 ms is sent again once.
                if not is_new and now_ms() - sent_at <= 50.0:
                    continue
                self.record.add(f"caller {self.number}: no whole answer to {name}")
                self.deployment.request_over(name)
                return NO_ANSWER
            answer = Answer(int(line.split()[1]), fields, result)
            answer.name, answer.sent_at, answer.answered_at = name, sent_at, now_ms()
            self.record.add(f"caller {self.number}: {name} answered {answer.status}")
            self.deployment.request_over(name)
            if fields.get("connection", "").lower() == "close":
                await close_writer(writer)
            else:
                self.idle.append((reader, writer))
            return answer

    async def close(self):
        for _, writer in self.idle:
            await close_writer(writer)
        self.idle = []


def request_class(name, effect, importance, target, deadline, **more):
    return {
        "name": name,
        "effect": effect,
        "importance": importance,
        "late-worth": 0.0,
        "target": target,
        "deadline": deadline,
        "repeat-window": 5000.0,
        **more,
    }


def base_settings(classes, calls=None, skips=None):
    """Settings like those of a small deployment: six cores, the limits of the rules as the site has them."""
    return {
        "accounts": [],
        "classes": classes,
        "clients": {"marks-retry": False},
        "contract": {
            "cold": 13000.0,
            "cold-share": 0.2,
            "drain-grace": 2000.0,
            "fall": 2000.0,
            "fall-multiple": 5.0,
            "grace-to-answer": 80.0,
        },
        "dcs": ["dakar-plateau", "thies"],
        "domain": {
            "advert": "silent",
            "blowup": 16.0,
            "calls-out": 5.5,
            "calls-over": 5000.0,
            "cancel-seen": True,
            "class-calls": calls or [False] * len(classes),
            "class-skip-worth": skips or [0.0] * len(classes),
            "clients-total": 1,
            "cores": 6,
            "deep-checks": True,
            "depends-on": "one_for_all",
            "fresh": 0.0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "freeze",
            "heeded": 1000.0,
            "idle": 30000.0,
            "just-started": False,
            "kb-per-key": 219.0,
            "memory-kb": 80000.0,
            "passes-deadline": False,
            "readiness": False,
            "stays-for": 200.0,
        },
        "goal": {"whole": 0.5, "worst-class": 0.35, "worst-tenant": 0.0, "worst-window": 0.15},
        "kind-of-service": "server",
        "me": 1,
        "over-share-worth": 0.1,
        "period": 2.0,
        "policy-limits": {
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 60000,
            "max-retry-after": 1000.0,
            "retry-after": True,
        },
        "replicas-of-me": 1,
        "report": {"fields": ["recent_ms"], "source": "piggyback"},
        "stage": 0,
        "tariffs": {},
        "tiers": ["map-servers"],
        "worth-by": "work",
        "zone": "dakar-plateau",
    }


class Process:
    """One process of the program, started as the deploy file says."""

    def __init__(self, deployment, control_port, process):
        self.deployment, self.control_port, self.process = deployment, control_port, process

    def signal(self, number):
        self.deployment.record.add(f"platform: {signal.Signals(number).name} to process {self.process.pid}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def control(self, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: control\r\n\r\n".encode())
        line, _, body = await asyncio.wait_for(read_http(reader), 2.0)
        await close_writer(writer)
        return int(line.split()[1]), body.decode()

    async def metric(self, name):
        _, body = await self.control("/v1/metrics")
        values = dict(line.split("=") for line in body.split() if "=" in line)
        return int(values[name])

    async def wait_ready(self, seconds=10.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CannotRun(f"the program ended with {self.process.returncode}")
            try:
                if (await self.control("/v1/readyz"))[0] == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the program was not ready in time")

    async def wait_ended(self, seconds):
        """Waits for its end and kills it after `seconds`, as the platform does."""
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """One machine with a map server. `engines`: one for each process, as an upgrade brings another."""

    def __init__(self, record, settings, stop_ms=3200, inherits_listener=False, **engine_options):
        self.record = record
        self.settings = settings
        self.stop_ms = stop_ms
        self.engine_options = engine_options
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.config_path = self.folder / "config.json"
        self.records = Records(record)
        self.directory = Directory(record)
        self.engines = []
        self.processes = []
        self.listener = None
        if inherits_listener:
            self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
            self.listen_port = self.listener.getsockname()[1]
        else:
            self.listen_port = free_port()

    async def start(self):
        await self.records.start()
        await self.directory.start()
        return await self.start_process()

    async def add_engine(self):
        engine = Engine(self.record, self.settings["domain"]["cores"], **self.engine_options)
        await engine.start()
        self.engines.append(engine)
        engine.machine = self.engines
        return engine

    def write_config(self, settings=None):
        """Writes the configuration whole, as the platform does."""
        config = {
            "name": "n3",
            "listen": f"127.0.0.1:{self.listen_port}",
            "engine": address_of(self.engines[-1].server),
            "lookup": address_of(self.directory.server),
            "records": address_of(self.records.server),
            "seed": "8c1f30d27a5be964",
            "stop_ms": self.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings or self.settings,
        }
        new_path = self.folder / "config.json.new"
        new_path.write_text(json.dumps(config))
        new_path.rename(self.config_path)

    async def start_process(self):
        await self.add_engine()
        self.write_config()
        command = re.search(r'^run = "(.*)"', (ROOT / "deploy/balancer.toml").read_text(), re.MULTILINE)[1]
        if not (ROOT / "build/cressledge").exists():
            raise CannotRun("build/cressledge is missing: run the build of deploy/balancer.toml first")
        control_port = free_port()
        environment = dict(
            os.environ,
            NODE_NAME="n3",
            NODE_LISTEN=f"127.0.0.1:{self.listen_port}",
            NODE_CONFIG=str(self.config_path),
            NODE_CONTROL=f"127.0.0.1:{control_port}",
            TMPDIR=str(self.folder),
        )
        descriptors = ()
        if self.listener is not None:
            environment["NODE_ACCEPT_FD"] = str(self.listener.fileno())
            descriptors = (self.listener.fileno(),)
        with open(self.folder / f"log.{len(self.processes)}", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                pass_fds=descriptors,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"platform: process {process.pid} started")
        started = Process(self, control_port, process)
        self.processes.append(started)
        await started.wait_ready()
        return started

    async def reload(self, process, settings):
        """Writes new settings, sends SIGHUP and waits until they were applied or turned down."""
        names = ("node.config_applied", "node.config_rejected")
        before = [await process.metric(name) for name in names]
        self.write_config(settings)
        process.signal(signal.SIGHUP)
        for _ in range(100):
            after = [await process.metric(name) for name in names]
            if after != before:
                applied = after[0] > before[0]
                self.record.add(f"platform: configuration {'applied' if applied else 'turned down'}")
                return applied
            await asyncio.sleep(0.01)
        raise CannotRun("the program did not read the configuration")

    def request_over(self, name):
        for engine in self.engines:
            engine.request_over(name)

    def runs(self):
        return sorted(run for engine in self.engines for run in engine.run_log)

    async def stop(self):
        for process in self.processes:
            if process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        for number in range(len(self.processes)):
            self.record.lines.append(f"--- log of process {number + 1}")
            log = (self.folder / f"log.{number}").read_text(errors="replace")
            self.record.lines.extend(log.splitlines()[:400])
        if self.listener is not None:
            self.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, make_deployment, play):
    """Plays a case and ends this process with one of the exit codes above."""
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # A case that is told to end ends what it started.
        playing = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        deployment = make_deployment(record)
        try:
            return await asyncio.wait_for(play(deployment, trouble), MAX_CASE_SECONDS)
        finally:
            await deployment.stop()

    try:
        breaches = asyncio.run(main())
        status = BROKEN if breaches else HELD
        for breach in breaches:
            record.lines.append(f"broken: {breach}")
            print(f"broken: {breach}")
        print("the rule was broken" if breaches else "the rule held")
    except (Exception, asyncio.CancelledError) as error:  # whatever went wrong, it was not the rule
        record.lines.append(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    record.save(pathlib.Path(folder) / "record.txt")
    sys.exit(status)
