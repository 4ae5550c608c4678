#!/usr/bin/env python3
"""Runs flood experiments against a built cressledge: 5,000 connections from one loopback address, beside a
listed client on another.

Use: bench/flood.py build/cressledge [--plain]     (--plain: no admission section, for versions before it)

Starts a fake upstream and the program, measures the listed client in a quiet run and then in each mode of
the flood: `silent` connections send nothing, `drip` ones a byte at a time, `valid` ones whole requests.
Prints a row for each mode: connections of the flood, requests of the listed client that were answered, and
their median time in ms and against the quiet run. Everything stays on loopback, is bounded in count and
time, and ends by itself.
"""
import multiprocessing
import os
import selectors
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass

from fakes import HOST, free_port

MODES = ("quiet", "silent", "drip", "valid")
FLOOD_ADDRESS = "127.0.0.9"
FLOOD_CONNECTIONS = 5000
MAX_OPEN_FLOOD_CONNECTIONS = 1000
FLOOD_TIMEOUT_S = 15.0
FLOOD_DURATION_S = 4.0  # the flood's connections are spread over it: as long as the listed client sends
FLOOD_HEAD_START_S = 0.2
DRIP_PAUSE_S = 0.005
LISTED_ADDRESS = "127.0.0.2"
LISTED_REQUESTS = 100
LISTED_INTERVAL_S = 0.04
LISTED_TIMEOUT_S = 5
UPSTREAM_WORK_S = {b"listed.": 0.05, b"flood.": 0.5}  # by the body of the request
IP_BIND_ADDRESS_NO_PORT = 24  # Linux; Python's socket module has no name for it
LISTEN_ATTEMPTS = 100
LISTEN_RETRY_S = 0.05


def scgi_request(class_name, body):
    """An SCGI request of a class."""
    fields = [
        ("CONTENT_LENGTH", str(len(body))),
        ("SCGI", "1"),
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", "/v1/" + class_name),
    ]
    head = "".join(name + "\0" + value + "\0" for name, value in fields).encode()
    return str(len(head)).encode() + b":" + head + b"," + body


def serve_upstream(listener):
    """Serves SCGI requests, a thread each, until the process ends."""

    def serve(connection):
        with connection:
            received = b""
            while not received.endswith(b"."):
                received += connection.recv(4096)
            time.sleep(UPSTREAM_WORK_S[received.rpartition(b",")[2]])
            connection.sendall(b"Status: 200 OK\r\nContent-Length: 3\r\n\r\nmap")

    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


@dataclass
class FloodConnection:
    """A connection of the flood, and what it has still to send."""

    socket: socket.socket
    unsent: bytes


class Flood:
    """Opens FLOOD_CONNECTIONS connections, MAX_OPEN_FLOOD_CONNECTIONS at a time at most.

    Silent ones stay open; the others finish or are closed by the server.
    """

    def __init__(self, port, mode):
        self.port = port
        self.mode = mode
        self.request = b"" if mode == "silent" else scgi_request("route-profile", b"flood.")
        self.selector = selectors.DefaultSelector()
        self.opened = 0
        self.connections = {}

    def run(self):
        """Runs the flood; returns the number of connections that were opened."""
        start = time.monotonic()
        end = start + FLOOD_TIMEOUT_S
        while not self.is_finished() and time.monotonic() < end:
            due = min(FLOOD_CONNECTIONS, (time.monotonic() - start) / FLOOD_DURATION_S * FLOOD_CONNECTIONS)
            while self.opened < due and len(self.connections) < MAX_OPEN_FLOOD_CONNECTIONS:
                self.open_connection()
            for key, events in self.selector.select(0.01):
                self.handle(key.fd, events)
            if self.mode == "drip":
                time.sleep(DRIP_PAUSE_S)
        return self.opened

    def is_finished(self):
        """Whether all connections were opened, and in the mode `valid` also closed."""
        awaits_answers = self.mode == "valid" and self.connections
        return self.opened >= FLOOD_CONNECTIONS and not awaits_answers

    def open_connection(self):
        """Begins to connect from the flood's address."""
        connection = socket.socket()
        connection.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        connection.setblocking(False)
        connection.bind((FLOOD_ADDRESS, 0))
        connection.connect_ex((HOST, self.port))
        self.opened += 1
        self.connections[connection.fileno()] = FloodConnection(connection, self.request)
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.request else 0)
        self.selector.register(connection, events)

    def handle(self, descriptor, events):
        """Sends and reads what a connection can, and forgets it once the server has closed it."""
        connection = self.connections[descriptor]
        is_closed = False
        try:
            if events & selectors.EVENT_WRITE and connection.unsent:
                self.send(connection)
            if events & selectors.EVENT_READ:
                is_closed = not connection.socket.recv(4096)
        except BlockingIOError:
            pass
        except OSError:
            is_closed = True
        if is_closed:
            self.selector.unregister(connection.socket)
            del self.connections[descriptor]
            connection.socket.close()

    def send(self, connection):
        """Sends the rest of the request, or its next byte."""
        chunk = connection.unsent[:1] if self.mode == "drip" else connection.unsent
        connection.unsent = connection.unsent[connection.socket.send(chunk) :]
        if not connection.unsent:
            self.selector.modify(connection.socket, selectors.EVENT_READ)


def run_flood(port, mode, opened):
    """Runs a flood in a process of its own; `opened` takes the number of connections."""
    opened.value = Flood(port, mode).run()


def send_listed_request(port):
    """One request of the listed client: seconds, or None without an answer 200."""
    start = time.monotonic()
    try:
        with socket.create_connection((HOST, port), LISTED_TIMEOUT_S, (LISTED_ADDRESS, 0)) as connection:
            connection.sendall(scgi_request("route-profile", b"listed."))
            received = b""
            while chunk := connection.recv(4096):
                received += chunk
        return time.monotonic() - start if received.startswith(b"Status: 200") else None
    except OSError:
        return None


def run_listed_client(port):
    """LISTED_REQUESTS requests at a constant rate, whatever became of the last (an open loop).

    Returns how many were answered and their median time in seconds.
    """
    results = [None] * LISTED_REQUESTS

    def send(index):
        results[index] = send_listed_request(port)

    threads = []
    for index in range(LISTED_REQUESTS):
        threads.append(threading.Thread(target=send, args=(index,)))
        threads[-1].start()
        time.sleep(LISTED_INTERVAL_S)
    for thread in threads:
        thread.join()
    answered = [seconds for seconds in results if seconds is not None]
    return len(answered), statistics.median(answered) if answered else float("nan")


def write_config(folder, port, upstream_port, is_plain):
    """Writes the inventory and the operator's file; returns the path of the latter."""
    with open(os.path.join(folder, "servers.csv"), "w") as file:
        file.write("name,address,protocol,group\nup,%s:%d,scgi,maps\n" % (HOST, upstream_port))
    path = os.path.join(folder, "o.yaml")
    with open(path, "w") as file:
        file.write(
            "listen: {scgi: %s:%d}\ninventory: servers.csv\ncores: 8\nconnections: 256\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, worth: 1, target_ms: 2900, deadline_ms: 8800}\n"
            "  - {name: route-profile, effect: safe, worth: 2, target_ms: 1500, deadline_ms: 3500}\n"
            % (HOST, port)
        )
        if not is_plain:
            file.write(
                "admission:\n  open: 64\n  in_hand: 4\n  rate: {per_second: 200, burst: 100}\n  groups:\n"
                "    - {name: front-ends, networks: [%s], reserve: {connections: 32}}\n" % LISTED_ADDRESS
            )
    return path


def wait_until_serving(port):
    """Returns when a request was answered, or after so many attempts."""
    for _ in range(LISTEN_ATTEMPTS):
        if send_listed_request(port) is not None:
            return
        time.sleep(LISTEN_RETRY_S)


def measure(port, mode):
    """Runs the listed client beside the flood: requests answered, median seconds, flood connections."""
    opened = multiprocessing.Value("i", 0)
    flood = None
    if mode != "quiet":
        flood = multiprocessing.Process(target=run_flood, args=(port, mode, opened))
        flood.start()
        time.sleep(FLOOD_HEAD_START_S)
    answered, median = run_listed_client(port)
    if flood is not None:
        flood.join(FLOOD_TIMEOUT_S + 5)
    return answered, median, opened.value


def run_mode(binary, is_plain, mode, folder):
    """Starts upstream and program, and measures one mode."""
    upstream = socket.create_server((HOST, 0), backlog=512)
    threading.Thread(target=serve_upstream, args=(upstream,), daemon=True).start()
    port = free_port()
    path = write_config(folder, port, upstream.getsockname()[1], is_plain)
    with open(os.path.join(folder, "log"), "w") as log:
        program = subprocess.Popen([binary, "serve", "--operator", path], stderr=log)
    try:
        wait_until_serving(port)
        return measure(port, mode)
    finally:
        program.send_signal(signal.SIGTERM)
        program.wait(10)
        upstream.close()


def main():
    """Runs all modes and prints a row for each."""
    binary = sys.argv[1]
    is_plain = "--plain" in sys.argv[2:]
    quiet_median = None
    print("mode    flood  answered  median ms  against quiet")
    for mode in MODES:
        with tempfile.TemporaryDirectory() as folder:
            answered, median, opened = run_mode(binary, is_plain, mode, folder)
        quiet_median = quiet_median or median
        print(
            "%-7s %5d  %4d/%d  %9.1f  %.2f"
            % (mode, opened, answered, LISTED_REQUESTS, median * 1000, median / quiet_median),
            flush=True,
        )


if __name__ == "__main__":
    main()
