"""Stand-ins of the platform on loopback, written from the protocol pages: engine, records service,
directory, callers, and the start of a map server with the `run` command of the deploy file.

All stand-ins of a case live in one asyncio loop. Times are in seconds of the Unix clock unless a name
says `_ms`.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CONTENT_LENGTH = re.compile(rb"(?i)content-length: *(\d+)")
READY_TIMEOUT_S = 30.0
MAX_LOG_BYTES = 20_000
LOG_CHUNK_BYTES = 1 << 20
PAST_DELAY_S = 0.005  # from the end of a run to the records service's word that its call is past
CONNECT_TIMEOUT_S = 2.0
# How a connection of a stand-in ends; the last one at the end of the case.
LINK_ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def has_trouble():
    """Whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Returns an unused port on loopback."""
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]


def port_of(server):
    """Returns the port of an asyncio server."""
    return server.sockets[0].getsockname()[1]


class Record:
    """Collects what was sent, answered and run; written to record.txt at the end."""

    def __init__(self):
        self.started_at = time.time()
        self.lines = []

    def add(self, text):
        """Adds a line with the seconds since the start of the case."""
        self.lines.append("%9.3f %s" % (time.time() - self.started_at, text))

    def write(self, folder):
        """Writes all lines."""
        with open(os.path.join(folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")


class Run:
    """A run of the engine: the request's body, and the replies to its calls."""

    def __init__(self, run_id, class_name, body):
        self.run_id = run_id
        self.class_name = class_name
        self.body = body
        self.replies = []
        self.awaited_call = None  # body of the call that the run waits for
        self.need_notice = 0
        self.fed_at = 0.0
        self.continued = None  # future: the run goes on
        self.is_over = False


def call_body(run_id, number):
    """The body of a run's call."""
    return b"call %d of %s" % (number, run_id)


def reply_to(body):
    """The records service's reply to a call: each call has a reply of its own."""
    return b"reply to " + body


class Engine:
    """The engine of one map server. `work_s` is the work of each part of a run; `calls` of a class are made
    between the parts. Notices are numbered, kept, and sent again on a new link after those that were read.

    `piece_gap_s`: notices arrive in two pieces with this pause between them; 0: whole.
    """

    def __init__(self, record, name, work_s, calls_by_class, seed=1):
        self.record = record
        self.name = name
        self.work_s = work_s
        self.calls_by_class = calls_by_class
        self.dice = random.Random(seed)
        self.piece_gap_s = 0.0
        self.notices = []  # bytes of each, from number 1
        self.runs = {}
        self.over = set()  # ids of requests that have been answered or given up
        self.run_starts = []  # (time, run id, body)
        self.repeated_replies = []  # (run id, seconds from its first sending to the break of the link)
        self.broken_at = 0.0
        self.started_at = time.time()
        self.link = None
        self.queue = None
        self.server = None
        self.records = None  # hears of runs that were ended
        self.tasks = set()

    async def listen(self):
        """Opens the port; returns its address."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return "%s:%d" % (HOST, port_of(self.server))

    def spawn(self, coroutine):
        """Starts a task and keeps it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        """Serves one link until it ends. A new link replaces the one before."""
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                words = line.split()
                body = b""
                if words[0] in (b"RUN", b"FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == b"ATTACH":
                    self.attach(writer, int(words[1]))
                else:
                    self.handle(words, body)
        except LINK_ENDS:
            return
        finally:
            if self.link is writer:
                self.link = None
            writer.close()

    def attach(self, writer, last_read):
        """Answers ATTACH: HELLO and all notices after the last one that was read."""
        if self.link is not None:
            self.link.close()
        self.link = writer
        self.queue = asyncio.Queue()
        uptime_ms = (time.time() - self.started_at + 60.0) * 1000.0
        self.queue.put_nowait((b"HELLO LOADED %d\r\n" % uptime_ms, False))
        for notice in self.notices[last_read:]:
            self.queue.put_nowait((notice, True))
        self.spawn(self.send_messages(writer, self.queue))

    async def send_messages(self, writer, queue):
        """Writes the messages of one link in order."""
        try:
            while self.link is writer:
                message, is_notice = await queue.get()
                if is_notice and self.piece_gap_s > 0.0:
                    cut = self.dice.randrange(1, len(message))
                    writer.write(message[:cut])
                    await asyncio.sleep(self.piece_gap_s)
                    message = message[cut:]
                writer.write(message)
                await writer.drain()
        except ConnectionError:
            return

    def notify(self, text, body=b""):
        """Numbers a notice, keeps it and sends it if there is a link. `text` has %d for the number."""
        line = text % (len(self.notices) + 1)
        self.notices.append(line + b"\r\n" + (body + b"\r\n" if text[:4] in (b"DONE", b"NEED") else b""))
        if self.link is not None:
            self.queue.put_nowait((self.notices[-1], True))

    def break_link(self):
        """Closes the link, if there is one."""
        self.broken_at = time.time()
        if self.link is not None:
            link, self.link = self.link, None
            link.close()

    def handle(self, words, body):
        """Carries out one command."""
        command = words[0]
        run = self.runs.get(words[1]) if len(words) > 1 else None
        if command == b"STAT":
            if self.link is not None:
                running = sum(not other.is_over for other in self.runs.values())
                self.queue.put_nowait((b"STATS %s %.2f %d 0.1 10\r\n" % (words[1], 0.3, running), False))
        elif command == b"TEST":
            if self.link is not None:
                self.queue.put_nowait((b"TESTED %s PASS\r\n" % words[1], False))
        elif command == b"RUN":
            self.start_run(run, words, body)
        elif command == b"FEED":
            self.feed(run, words[1], body)
        elif command == b"SKIP":
            is_awaited = run is not None and run.awaited_call is not None and run.need_notice == int(words[2])
            if is_awaited:
                self.go_on(run, b"skipped")
        elif command == b"HALT":
            self.halt(run)
        else:
            self.record.add("engine %s: %s" % (self.name, b" ".join(words).decode()))

    def halt(self, run):
        """HALT: stops the work of a run whose request is over. A run at its call is not on a core."""
        if run is None or run.is_over or run.awaited_call is not None or run.run_id not in self.over:
            return
        self.kill(run)

    def request_over(self, run_id):
        """The request has been answered or given up: its run ends at its call."""
        run_id = run_id.encode()
        self.over.add(run_id)
        run = self.runs.get(run_id)
        if run is not None and run.awaited_call is not None:
            run.awaited_call = None
            run.continued.set_result(None)
            self.kill(run)

    def kill(self, run):
        """The run ends without a result."""
        run.is_over = True
        self.record.add("engine %s: DONE %s KILLED" % (self.name, run.run_id.decode()))
        self.notify(b"DONE %d " + run.run_id + b" KILLED 100 0")
        if self.records is not None:
            self.records.run_ended(run.run_id)

    def start_run(self, run, words, body):
        """RUN: for a request that runs already nothing happens."""
        if run is not None:
            self.record.add("engine %s: RUN %s again" % (self.name, words[1].decode()))
            return
        run = Run(words[1], words[2].decode(), body)
        self.runs[words[1]] = run
        self.run_starts.append((time.time(), words[1].decode(), body))
        self.record.add(
            "engine %s: RUN %s %s %s" % (self.name, words[1].decode(), run.class_name, body.decode())
        )
        self.spawn(self.work(run))

    def feed(self, run, run_id, reply):
        """FEED: the reply to the call that the run waits for."""
        if run is None or run.awaited_call is None:
            self.record.add("engine %s: FEED %s, which waits for no call" % (self.name, run_id.decode()))
            if self.link is not None:
                self.queue.put_nowait((b"NO FEED %s\r\n" % run_id, False))
            return
        if reply != reply_to(run.awaited_call):
            before_break_s = self.broken_at - run.fed_at
            self.repeated_replies.append((run_id.decode(), before_break_s))
            self.record.add(
                'engine %s: FEED %s with "%s" for "%s": WRONG REPLY, first sent %.3f s before the break'
                % (self.name, run_id.decode(), reply.decode(), run.awaited_call.decode(), before_break_s)
            )
        self.go_on(run, reply)

    def go_on(self, run, reply):
        """The run goes on after its call."""
        run.replies.append(reply)
        run.fed_at = time.time()
        run.awaited_call = None
        run.continued.set_result(None)

    async def work(self, run):
        """Works, calls, and ends with a result made of the body and the replies."""
        for number in range(self.calls_by_class.get(run.class_name, 0)):
            await asyncio.sleep(self.work_s * self.dice.uniform(0.6, 1.4))
            if run.is_over:
                return
            if run.run_id in self.over:
                return self.kill(run)
            run.awaited_call = call_body(run.run_id, number + 1)
            run.need_notice = len(self.notices) + 1
            run.continued = asyncio.get_running_loop().create_future()
            self.record.add("engine %s: NEED %s call %d" % (self.name, run.run_id.decode(), number + 1))
            self.notify(b"NEED %d " + run.run_id + b" %d" % len(run.awaited_call), run.awaited_call)
            await run.continued
            if run.is_over:
                return
        await asyncio.sleep(self.work_s * self.dice.uniform(0.6, 1.4))
        if run.is_over:
            return
        run.is_over = True
        result = b"result of " + run.body + b"".join(b"; " + reply for reply in run.replies)
        self.record.add("engine %s: DONE %s PASS" % (self.name, run.run_id.decode()))
        self.notify(b"DONE %d " + run.run_id + b" PASS 100 %d" % len(result), result)


class RecordsService:
    """The records service: answers each call after `delay_s` with a reply of its own. A call whose run has
    ended is answered PAST."""

    def __init__(self, record, delay_s):
        self.record = record
        self.delay_s = delay_s
        self.calls = {}  # run id: the timer of its reply and the connection of its call

    async def listen(self):
        """Opens the port; returns its address."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        return "%s:%d" % (HOST, port_of(server))

    async def serve(self, reader, writer):
        """Serves one connection until it ends."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                words = (await reader.readline()).split()
                if not words:
                    return
                if words[0] == b"OP":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.record.add("records: OP %s" % body.decode())
                    timer = loop.call_later(self.delay_s, self.reply, words[1], writer, body)
                    self.calls[words[1]] = (timer, writer)
        except LINK_ENDS:
            return
        finally:
            writer.close()

    def reply(self, run_id, writer, body):
        """The call went well."""
        self.calls.pop(run_id, None)
        reply = reply_to(body)
        writer.write(b"%s DONE %d\r\n%s\r\n" % (run_id, len(reply), reply))

    def run_ended(self, run_id):
        """The run of a call has ended: the answer is PAST, soon after."""
        if run_id not in self.calls:
            return
        timer, writer = self.calls.pop(run_id)
        timer.cancel()
        self.record.add("records: %s PAST, its run has ended" % run_id.decode())
        asyncio.get_running_loop().call_later(PAST_DELAY_S, writer.write, b"%s PAST\r\n" % run_id)


class Directory:
    """The directory: answers each report with 204."""

    def __init__(self, record):
        self.record = record

    async def listen(self):
        """Opens the port; returns its address."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        return "%s:%d" % (HOST, port_of(server))

    async def serve(self, reader, writer):
        """Serves one connection until it ends."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(CONTENT_LENGTH.search(head).group(1)))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except LINK_ENDS:
            return
        finally:
            writer.close()


def settings(classes, skip_worth, calls):
    """The settings of a small deployment, with the names of the wire page."""
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
        "dcs": ["a", "b"],
        "domain": {
            "advert": "silent",
            "blowup": 16.0,
            "calls-out": 12.0,
            "calls-over": 5000.0,
            "cancel-seen": True,
            "class-calls": calls,
            "class-skip-worth": skip_worth,
            "clients-total": 3,
            "cores": 6,
            "deep-checks": True,
            "depends-on": "one_for_all",
            "fresh": 0.0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "freeze",
            "heeded": 1000.0,
            "idle": 30000.0,
            "just-started": False,
            "kb-per-key": 200.0,
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
        "report": {"fields": ["recent_ms", "throughput"], "source": "piggyback"},
        "stage": 0,
        "tariffs": {
            "connection": 0.0,
            "handshake": 0.01,
            "late-fail": 0.047,
            "origin": 0.02,
            "waste": 0.027,
        },
        "tiers": ["map-servers"],
        "worth-by": "work",
        "zone": "a",
    }


def request_class(name, effect, worth, target_ms, deadline_ms, late_worth=0.0):
    """One class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "importance": worth,
        "target": float(target_ms),
        "deadline": float(deadline_ms),
        "late-worth": late_worth,
        "repeat-window": 5000.0,
    }


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'(?m)^run = "([^"]+)"', file.read()).group(1)


class Node:
    """A process of the map server, started as the platform starts it. With `accept_fd` it takes the clients'
    listening socket that the platform holds."""

    def __init__(self, record, folder, name, config, accept_fd=None):
        self.record = record
        self.name = name
        self.config_path = os.path.join(folder, name + ".json")
        self.control_port = free_port()
        self.write_config(config)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        temporary = os.path.join(folder, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment.update(
            NODE_NAME=config["name"],
            NODE_LISTEN=config["listen"],
            NODE_CONFIG=self.config_path,
            NODE_CONTROL="%s:%d" % (HOST, self.control_port),
            TMPDIR=temporary,
        )
        descriptors = ()
        if accept_fd is not None:
            environment["NODE_ACCEPT_FD"] = str(accept_fd)
            descriptors = (accept_fd,)
        self.log = b""
        self.log_bytes = 0
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=environment,
            pass_fds=descriptors,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self.log_reader = threading.Thread(target=self.read_log, daemon=True)
        self.log_reader.start()
        record.add("process %s: started" % name)

    def read_log(self):
        """Reads the log as fast as it comes; keeps its beginning."""
        descriptor = self.process.stdout.fileno()
        while chunk := os.read(descriptor, LOG_CHUNK_BYTES):
            self.log_bytes += len(chunk)
            if len(self.log) < MAX_LOG_BYTES:
                self.log += chunk[: MAX_LOG_BYTES - len(self.log)]

    def write_config(self, config):
        """Replaces the configuration file."""
        with open(self.config_path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(self.config_path + ".new", self.config_path)

    async def wait_until_ready(self):
        """Waits until the control address says that the process can serve."""
        end = time.time() + READY_TIMEOUT_S
        while time.time() < end and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.control_port)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: n\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(), 1.0)
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    self.record.add("process %s: ready" % self.name)
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("process %s is not ready" % self.name)

    def send_signal(self, number):
        """Sends a signal, if the process has not ended."""
        if self.process.poll() is None:
            self.record.add("process %s: %s" % (self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    def end(self):
        """Ends the process."""
        if self.process.poll() is None:
            self.process.kill()
        status = self.process.wait()
        self.log_reader.join()
        self.process.stdout.close()
        self.record.add("process %s: ended with status %d" % (self.name, status))

    def log_lines(self):
        """The beginning of its log, for the record."""
        lines = self.log.decode(errors="replace").splitlines()
        lines.append("(%d bytes of log, of which the first %d are kept)" % (self.log_bytes, len(self.log)))
        return ["log of %s: %s" % (self.name, line) for line in lines]


class Answer:
    """What a try got: `status` of the answer; 0: none, and `end` says why."""

    def __init__(self, status=0, body=b"", end="answered"):
        self.status = status
        self.body = body
        self.end = end


async def read_answer(reader):
    """Reads one whole answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(int(CONTENT_LENGTH.search(head).group(1)))
    return Answer(int(head.split()[1]), body)


async def send_try(record, port, class_name, trace_id, body, fields=None, patience_s=30.0):
    """One try of a request on a connection of its own. A caller that stops waiting closes the connection."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), CONNECT_TIMEOUT_S)
    except (OSError, asyncio.TimeoutError):
        record.add("caller: %s not connected" % trace_id)
        return Answer(end="not connected")
    head = (
        "POST /v1/%s HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: %s\r\nAccepted-At-Ms: %d\r\nClient-No: 1\r\n"
        "Reserve-Kb: 24.5\r\nStanding: 0.5\r\n" % (class_name, trace_id, int(time.time() * 1000))
    )
    for name, value in (fields or {}).items():
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    record.add("caller: %s sent, %s %s" % (trace_id, class_name, body.decode()))
    try:
        writer.write(head.encode() + body)
        answer = await asyncio.wait_for(read_answer(reader), patience_s)
    except asyncio.TimeoutError:
        answer = Answer(end="gave up")
    except (ConnectionError, asyncio.IncompleteReadError):
        answer = Answer(end="connection ended without an answer")
    finally:
        writer.close()
    record.add("caller: %s %s %d %s" % (trace_id, answer.end, answer.status, answer.body.decode()))
    return answer


def play(case_folder, main):
    """Runs `main(record, folder, nodes)` of a case in a temporary folder. It returns whether the rule held.
    Ends all processes, writes the record and exits with the status of the case."""
    record = Record()
    folder = tempfile.mkdtemp(prefix="case-")
    nodes = []
    status = COULD_NOT_RUN
    try:
        has_held = asyncio.run(main(record, folder, nodes))
        status = HELD if has_held else BROKEN
    except Exception as error:  # says nothing about the rule
        record.add("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        for node in nodes:
            node.end()
            record.lines += node.log_lines()
        record.write(case_folder)
        shutil.rmtree(folder)
    sys.exit(status)
