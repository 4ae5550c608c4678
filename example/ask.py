#!/usr/bin/env python3
"""Sends one request to cressledge over SCGI and prints the response. Use: ask.py [CLASS [TEXT]]"""
import socket
import sys

kind = sys.argv[1] if len(sys.argv) > 1 else "trail-sheet"
body = (sys.argv[2] if len(sys.argv) > 2 else "Dindefelo").encode()
fields = [
    ("CONTENT_LENGTH", str(len(body))),
    ("SCGI", "1"),
    ("REQUEST_METHOD", "POST"),
    ("REQUEST_URI", "/v1/" + kind),
]
head = "".join(name + "\0" + value + "\0" for name, value in fields).encode()
with socket.create_connection(("127.0.0.1", 4000)) as connection:
    connection.sendall(str(len(head)).encode() + b":" + head + b"," + body)
    while data := connection.recv(4096):
        sys.stdout.write(data.decode())
