#!/usr/bin/env python3
"""A toy SCGI map server for trying cressledge: waits 0.2 s, then returns the path and body of the request."""
import socketserver
import time


class Toy(socketserver.StreamRequestHandler):
    def handle(self):
        length = b""
        while not length.endswith(b":"):
            byte = self.rfile.read(1)
            if not byte:
                return
            length += byte
        parts = self.rfile.read(int(length[:-1])).split(b"\0")
        self.rfile.read(1)  # the comma
        fields = dict(zip(parts[0::2], parts[1::2]))
        body = self.rfile.read(int(fields[b"CONTENT_LENGTH"]))
        time.sleep(0.2)
        result = b"a map for " + fields[b"REQUEST_URI"] + b": " + body + b"\n"
        self.wfile.write(b"Status: 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(result), result))


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    with Server(("127.0.0.1", 4101), Toy) as server:
        print("toy server on 127.0.0.1:4101, Ctrl-C ends it", flush=True)
        try:
            server.serve_forever()
        except KeyboardInterrupt:
            pass
