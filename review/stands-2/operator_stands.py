"""Stand-ins for a set-up with an operator's file: servers of the inventory over SCGI, and old clients.

They follow the SCGI specification and the project's pages for operators. The program runs under its own
supervisor (`cressledge supervise`), which binds the clients' addresses and hands them down.
"""

import asyncio
import os
import pathlib
import shutil
import signal
import tempfile
import time

from platform_stands import (
    Answer,
    CannotRun,
    close_writer,
    free_port,
    now_ms,
    port_of,
    read_http,
    ROOT,
)


def encode_scgi(fields, body):
    """One SCGI request: a netstring of headers, the length of the body first, and the body."""
    headers = [("CONTENT_LENGTH", str(len(body))), ("SCGI", "1"), *fields.items()]
    block = b"".join(name.encode() + b"\0" + value.encode() + b"\0" for name, value in headers)
    return str(len(block)).encode() + b":" + block + b"," + body


class Server:
    """A server of the inventory that speaks SCGI and takes `work_seconds` for each call."""

    def __init__(self, record, name, work_seconds=0.2):
        self.record, self.name, self.work_seconds = record, name, work_seconds
        self.ran = []  # (time in ms, id of the request)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    async def serve(self, reader, writer):
        try:
            length = int((await reader.readuntil(b":"))[:-1])
            words = (await reader.readexactly(length + 1))[:-2].split(b"\0")
            fields = dict(zip(words[0::2], words[1::2]))
            body = await reader.readexactly(int(fields[b"CONTENT_LENGTH"]))
            name = fields[b"HTTP_TRACE_ID"].decode()
            self.ran.append((now_ms(), name))
            self.record.add(f"server {self.name}: runs {name}")
            await asyncio.sleep(self.work_seconds)
            result = b"a map for " + name.encode() + b" " + body
            head = f"Status: 200 OK\r\nContent-Length: {len(result)}\r\n\r\n"
            writer.write(head.encode() + result)
        except (OSError, asyncio.IncompleteReadError):
            pass
        await close_writer(writer)


class Client:
    """An old client: one SCGI request a connection."""

    def __init__(self, setup, number):
        self.setup, self.record, self.number = setup, setup.record, number
        self.count = 0

    async def ask(self, class_name, body):
        """Returns the answer, with status 0 if the connection ended without one; None if it was refused."""
        self.count += 1
        name = f"{self.number:04x}{os.getpid() & 0xFFFF:04x}{self.count:08x}"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.setup.scgi_port)
        except OSError:
            self.record.add(f"client {self.number}: connection refused")
            return None
        body = body.encode()
        fields = {"REQUEST_METHOD": "POST", "REQUEST_URI": f"/v1/{class_name}", "HTTP_TRACE_ID": name}
        writer.write(encode_scgi(fields, body))
        sent_at = now_ms()
        self.record.add(f"client {self.number}: sends {name} {class_name}")
        answer = Answer(0, {}, b"")
        try:
            data = await reader.read(-1)
            head, _, result = data.partition(b"\r\n\r\n")
            if head.startswith(b"Status: "):
                answer = Answer(int(head.split()[1]), {}, result)
        except OSError as error:
            self.record.add(f"client {self.number}: {name}: {error}")
        answer.name, answer.sent_at, answer.ended_at = name, sent_at, now_ms()
        self.record.add(f"client {self.number}: {name} answered {answer.status or 'with nothing'}")
        await close_writer(writer)
        return answer


class SupervisedSetup:
    """One process of the program under its supervisor, and the servers that it calls."""

    def __init__(self, record, server_count=3, stop_ms=3000):
        self.record = record
        self.stop_ms = stop_ms
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.servers = [Server(record, f"tiles-{number}") for number in range(1, server_count + 1)]
        self.scgi_port, self.control_port = free_port(), free_port()
        self.process = None

    def write_files(self):
        rows = ["name,address,protocol,group"]
        rows += [
            f"{server.name},127.0.0.1:{port_of(server.server)},scgi,map-servers" for server in self.servers
        ]
        (self.folder / "servers.csv").write_text("\n".join(rows) + "\n")
        (self.folder / "gateway.yaml").write_text(
            f"""listen: {{scgi: "127.0.0.1:{self.scgi_port}"}}
inventory: servers.csv
cores: 12
stop_ms: {self.stop_ms}
classes:
  - {{name: trail-sheet, effect: safe, worth: 1, late_worth: 0.2, target_ms: 2900, deadline_ms: 8800}}
  - {{name: map-order, effect: unsafe, worth: 5, target_ms: 3500, deadline_ms: 12000}}
"""
        )
        (self.folder / "supervisor.yaml").write_text(
            f"""control: 127.0.0.1:{self.control_port}
program: {ROOT / "build/cressledge"}
logs: {self.folder}
processes:
  - {{id: plateau-1, file: gateway.yaml}}
"""
        )

    async def start(self):
        if not (ROOT / "build/cressledge").exists():
            raise CannotRun("build/cressledge is missing: run the build of deploy/balancer.toml first")
        for server in self.servers:
            await server.start()
        self.write_files()
        with open(self.folder / "supervisor.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                ROOT / "build/cressledge",
                "supervise",
                self.folder / "supervisor.yaml",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        await self.wait_ready()

    async def wait_ready(self, seconds=10.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CannotRun(f"the supervisor ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: control\r\n\r\n")
                line, _, _ = await asyncio.wait_for(read_http(reader), 2.0)
                await close_writer(writer)
                if " 200 " in line:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the program was not ready in time")

    def signal(self, number):
        self.record.add(f"platform: {signal.Signals(number).name} to the supervisor")
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            # The supervisor ends the process that it started.
            self.process.terminate()
            await asyncio.wait_for(self.process.wait(), 20.0)
        for log in sorted(self.folder.glob("*.log")):
            self.record.lines.append(f"--- {log.name}")
            self.record.lines.extend(log.read_text(errors="replace").splitlines()[:200])
        shutil.rmtree(self.folder, ignore_errors=True)
