"""An endpoint process that sends bytes without end.

With arguments, it is a caller that sends one request. The last segment of the path names what the first request to that path gets;
later requests to it get a sound response. Runs as a process of its own, so that
its work does not delay the gateway's event loop. Uses built-in modules only.
"""

import collections
import contextlib
import http.client
import itertools
import json
import re
import socket
import sys
import threading

BLOCK = 16 * 1024
ENDLESS = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"%x\r\n%s\r\n" % (BLOCK, b"a" * BLOCK)
CHUNKED = "Transfer-Encoding: chunked"
# Number of bytes of sound large responses and events.
LARGE_BODY = 12 * 1024 * 1024
LARGE_EVENT = 900 * 1024
EVENTS = 4
# More than the sockets of a caller that does not read hold.
MANY_EVENTS = 16
seen: collections.Counter = collections.Counter()


def head(request_id: str, *lines: str, status: str = "200 OK") -> bytes:
    """Return status line and headers of a genuine response."""
    found = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request_id}",
        "X-Signature: by-e",
        *lines,
    ]
    return ("\r\n".join(found) + "\r\n\r\n").encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int, size: int) -> bytes:
    """Return one event with some bytes of data."""
    return b"id: %d\ndata: %s\n\n" % (number, b"e" * size)


def faulty(kind: str, request_id: str) -> tuple[bytes, bytes]:
    """Return the beginning of a response, and what then repeats for ever."""
    chunked = head(request_id, CHUNKED)
    failed = head(request_id, CHUNKED, status="500 Bad")
    refused = head(request_id, CHUNKED, "X-Not-Run: 1", status="503 Full")
    whole = head(request_id, "Content-Length: 4") + b"done"
    return {
        "header-line": (ENDLESS + b"X-A: ", b"a" * BLOCK),
        "header-lines": (ENDLESS, b"X-A: b\r\n" * 1024),
        "status-line": (b"HTTP/1.1 200 ", b"a" * BLOCK),
        "1xx": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 512),
        "chunks": (chunked, CHUNK),
        "tiny-chunks": (chunked, b"1\r\na\r\n" * 2048),
        "chunk-line": (chunked, b"0" * BLOCK),
        "trailers": (chunked + b"0\r\n", b"X-A: b\r\n" * 1024),
        "unframed": (head(request_id, "Connection: close"), b"a" * BLOCK),
        "length": (head(request_id, f"Content-Length: {10**7}"), b"a" * BLOCK),
        "huge-length": (
            head(request_id, f"Content-Length: {10**12}"),
            b"a" * BLOCK,
        ),
        "error": (failed, CHUNK),
        "refusal": (refused, CHUNK),
        "unsigned": (chunked.replace(b"X-Signature", b"X-Other"), CHUNK),
        "event": (chunked, CHUNK),
        "lines": (chunked, chunk(b"data: a\n" * 2048)),
        "blank-lines": (chunked, chunk(b"\n" * BLOCK)),
        "extra": (whole, b"a" * BLOCK),
    }[kind]


def sound(kind: str, request_id: str, path: str) -> bytes:
    """Return a sound response."""
    if kind == "large-body":
        length = f"Content-Length: {LARGE_BODY}"
        return head(request_id, length) + b"b" * LARGE_BODY
    if not path.startswith("/stream/"):
        return head(request_id, "Content-Length: 4") + b"done"
    size = LARGE_EVENT if kind.startswith("large") else 1
    count = MANY_EVENTS if kind == "large-events" else EVENTS
    events = (event(number, size) for number in range(1, count + 1))
    body = b"".join(chunk(data) for data in events)
    return head(request_id, CHUNKED) + body + b"0\r\n\r\n"


def serve(connection: socket.socket) -> None:
    """Serve the requests of one connection."""
    reader = connection.makefile("rb")
    try:
        while line := reader.readline():
            fields = {}
            while (field := reader.readline()) not in (b"\r\n", b""):
                name, _, value = field.decode().partition(":")
                fields[name.lower()] = value.strip()
            reader.read(int(fields.get("content-length", 0)))
            path = line.split()[1].decode()
            kind = path.rpartition("/")[2]
            request_id = fields.get("x-request-id", "")
            seen[path] += 1
            if seen[path] > 1 or kind.startswith(("large", "sound")):
                connection.sendall(sound(kind, request_id, path))
                continue
            start, repeated = faulty(kind, request_id)
            for data in itertools.chain([start], itertools.repeat(repeated)):
                connection.sendall(data)
    except ConnectionError:
        pass
    finally:
        connection.close()


def speak_first(connection: socket.socket) -> None:
    """Send bytes without end before any request."""
    try:
        while True:
            connection.sendall(b"a" * BLOCK)
    except ConnectionError:
        connection.close()


def listen(handle) -> int:
    """Handle each connection in a thread; return the port."""
    listener = socket.create_server(("127.0.0.1", 0))

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=handle, args=(connection,), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()[1]


def ask(port: str, path: str, headers: str) -> None:
    """Send a request like a caller and read the response."""
    connection = http.client.HTTPConnection("127.0.0.1", int(port))
    connection.request("POST", path, b"body", json.loads(headers))
    with contextlib.suppress(http.client.IncompleteRead):
        connection.getresponse().read()


def main() -> None:
    """Print the ports of two endpoints and of one that speaks first."""
    if sys.argv[1:]:
        ask(*sys.argv[1:])
        return
    ports = [listen(serve), listen(serve), listen(speak_first)]
    print(re.sub(r"[^0-9 ]", "", str(ports)), flush=True)
    # Ends with the parent process, which closes this pipe.
    sys.stdin.read()


if __name__ == "__main__":
    main()
