#!/usr/bin/env python3
"""Runs flood experiments against a built cressledge: 5,000 connections from one loopback address, beside a
caller on another.

Use: bench/flood.py build/cressledge [--plain]     (--plain: no admission section, for versions before it)

Starts a stand-in server and the program, measures the other caller in a quiet run and then in each mode of
the flood, in one run, and prints a table. Everything stays on loopback, is bounded in count and time, and
ends by itself.
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

FLOOD, ADDRESS, LISTED = 5000, "127.0.0.9", "127.0.0.2"
AT_ONCE, ASKS, EVERY, LONGEST = 1000, 100, 0.04, 15.0
OVER = 4.0  # seconds that the flood's connections are spread over: as long as the other caller asks
WORK = {b"listed.": 0.05, b"flood.": 0.5}  # seconds a call takes at the stand-in server


def scgi(kind, body):
    fields = [
        ("CONTENT_LENGTH", str(len(body))),
        ("SCGI", "1"),
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", "/v1/" + kind),
    ]
    head = "".join(k + "\0" + v + "\0" for k, v in fields).encode()
    return str(len(head)).encode() + b":" + head + b"," + body


def stand_in(listener):
    def serve(connection):
        with connection:
            got = b""
            while not got.endswith(b"."):
                got += connection.recv(4096)
            time.sleep(WORK[got.rpartition(b",")[2]])
            connection.sendall(b"Status: 200 OK\r\nContent-Length: 3\r\n\r\nmap")

    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


def flood(port, mode, done):
    """Opens FLOOD connections, up to AT_ONCE at a time.

    Silent ones are kept, the others finish or are closed.
    """
    request, selector, opened, live = scgi("route-profile", b"flood."), selectors.DefaultSelector(), 0, {}
    start = time.monotonic()
    end = start + LONGEST
    while (opened < FLOOD or (mode == "valid" and live)) and time.monotonic() < end:
        by_now = min(FLOOD, (time.monotonic() - start) / OVER * FLOOD)
        while opened < by_now and len(live) < AT_ONCE:
            s = socket.socket()
            s.setsockopt(socket.IPPROTO_IP, 24, 1)  # IP_BIND_ADDRESS_NO_PORT
            s.setblocking(False)
            s.bind((ADDRESS, 0))
            s.connect_ex(("127.0.0.1", port))
            opened += 1
            live[s.fileno()] = [s, b"" if mode == "silent" else request]
            selector.register(s, selectors.EVENT_READ | (0 if mode == "silent" else selectors.EVENT_WRITE))
        for key, events in selector.select(0.01):
            s, left = live[key.fd]
            over = False
            try:
                if events & selectors.EVENT_WRITE and left:
                    sent = s.send(left[:1] if mode == "drip" else left)
                    live[key.fd][1] = left[sent:]
                    if not live[key.fd][1]:
                        selector.modify(s, selectors.EVENT_READ)
                if events & selectors.EVENT_READ:
                    over = not s.recv(4096)
            except BlockingIOError:
                pass
            except OSError:
                over = True
            if over:
                selector.unregister(s)
                del live[key.fd]
                s.close()
        if mode == "drip":
            time.sleep(0.005)
    done.value = opened


def ask(port):
    """One request of the other caller: seconds, or None without an answer 200."""
    from_ = time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", port), 5, (LISTED, 0)) as s:
            s.sendall(scgi("route-profile", b"listed."))
            got = b""
            while chunk := s.recv(4096):
                got += chunk
        return time.monotonic() - from_ if got.startswith(b"Status: 200") else None
    except OSError:
        return None


def listed(port):
    """ASKS requests, one every EVERY seconds whatever became of the last, as its users come."""
    results, threads = [None] * ASKS, []

    def one(i):
        results[i] = ask(port)

    for i in range(ASKS):
        threads.append(threading.Thread(target=one, args=(i,)))
        threads[-1].start()
        time.sleep(EVERY)
    for t in threads:
        t.join()
    good = [r for r in results if r is not None]
    return len(good), statistics.median(good) if good else float("nan")


def run(binary, plain, mode, folder):
    server = socket.create_server(("127.0.0.1", 0), backlog=512)
    threading.Thread(target=stand_in, args=(server,), daemon=True).start()
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    with open(os.path.join(folder, "servers.csv"), "w") as f:
        f.write("name,address,protocol,group\nup,127.0.0.1:%d,scgi,maps\n" % server.getsockname()[1])
    path = os.path.join(folder, "o.yaml")
    with open(path, "w") as f:
        f.write(
            "listen: {scgi: 127.0.0.1:%d}\ninventory: servers.csv\ncores: 8\nconnections: 256\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, worth: 1, target_ms: 2900, deadline_ms: 8800}\n"
            "  - {name: route-profile, effect: safe, worth: 2, target_ms: 1500, deadline_ms: 3500}\n" % port
        )
        if not plain:
            f.write(
                "admission:\n  open: 64\n  in_hand: 4\n  rate: {per_second: 200, burst: 100}\n  groups:\n"
                "    - {name: front-ends, networks: [%s], reserve: {connections: 32}}\n" % LISTED
            )
    with open(os.path.join(folder, "log"), "w") as log:
        program = subprocess.Popen([binary, "serve", "--operator", path], stderr=log)
    try:
        for _ in range(100):
            if ask(port) is not None:
                break
            time.sleep(0.05)
        done, flooder = multiprocessing.Value("i", 0), None
        if mode != "quiet":
            flooder = multiprocessing.Process(target=flood, args=(port, mode, done))
            flooder.start()
            time.sleep(0.2)
        good, median = listed(port)
        if flooder is not None:
            flooder.join(LONGEST + 5)
        return good, median, done.value
    finally:
        program.send_signal(signal.SIGTERM)
        program.wait(10)
        server.close()


def main():
    binary, plain = sys.argv[1], "--plain" in sys.argv[2:]
    quiet = None
    print("mode    flood  answered  median ms  against quiet")
    for mode in ("quiet", "silent", "drip", "valid"):
        with tempfile.TemporaryDirectory() as folder:
            good, median, opened = run(binary, plain, mode, folder)
        quiet = quiet or median
        print(
            "%-7s %5d  %4d/%d  %9.1f  %.2f" % (mode, opened, good, ASKS, median * 1000, median / quiet),
            flush=True,
        )


if __name__ == "__main__":
    main()
