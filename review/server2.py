"""A stand-in server process of the platform: heartbeats and requests.

What happens is written as JSON lines to standard output.

Arguments: a JSON object with `identifier`, `service`, `address`, `zone`,
`control` (addresses of control), and the behaviour of its answers.
"""

import http.client
import json
import random
import socket
import sys
import threading
import time

CONFIG = json.loads(sys.argv[1])
ADDRESS = CONFIG["address"]
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
lock = threading.Lock()
chance = random.Random(CONFIG.get("seed", 1))
state = {"sequence": 0}
STARTED = time.monotonic()


def say(event, **fields):
    with lock:
        sys.stdout.write(json.dumps({"event": event, "at": time.monotonic(),
                                     "server": CONFIG["identifier"]} | fields)
                         + "\n")
        sys.stdout.flush()


def call_control(method, body):
    """Call control until a 2xx answer within a second; return whether so."""
    path = "/v1/instances/" + CONFIG["identifier"]
    for address in CONFIG["control"]:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            data = None if body is None else json.dumps(body).encode()
            connection.request(method, path, data,
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            response.read()
            if 200 <= response.status < 300:
                return True
        except (OSError, http.client.HTTPException):
            continue
        finally:
            connection.close()
    return False


def beat():
    with lock:
        state["sequence"] += 1
        sequence = state["sequence"]
    return call_control("PUT", {
        "service": CONFIG["service"], "address": ADDRESS,
        "zone": CONFIG["zone"], "version": "v1",
        "slots": CONFIG.get("slots", 8), "state": "ready",
        "coldRemainingMs": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": sequence})


def beats():
    while True:
        beat()
        time.sleep(1.2)


def read_head(connection, pending):
    while b"\r\n\r\n" not in pending:
        data = connection.recv(65536)
        if not data:
            return None, b""
        pending += data
    head, _, rest = pending.partition(b"\r\n\r\n")
    return head.decode("latin1"), rest


def is_faulty():
    """Return whether an episode of faults lasts; without `every_s`, always."""
    every_s = CONFIG.get("every_s")
    if not every_s:
        return True
    episode, passed = divmod(time.monotonic() - STARTED, every_s)
    return (passed < CONFIG["episode_s"]
            and episode % CONFIG["turns"] == CONFIG["turn"])


def sheds(target):
    """Return whether a request is rejected as if the server were full."""
    is_request = target not in ("/health", "/v1/report", "/v1/order")
    return (is_request and is_faulty()
            and chance.random() < CONFIG.get("shed_share", 0))


def serve(connection):
    pending, late = b"", b""
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while True:
            head, pending = read_head(connection, pending)
            if head is None:
                return
            lines = head.split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", "0"))
            while len(pending) < size:
                data = connection.recv(65536)
                if not data:
                    return
                pending += data
            body, pending = pending[:size], pending[size:]
            if late:
                # An extra answer arrives where the next one is expected.
                connection.sendall(late)
                late = b""
            if sheds(target):
                attempt = headers.get("x-attempt-id", "")
                shed = plain("503 Service Unavailable",
                             {"X-Attempt-Id": attempt, "X-Not-Executed": "1",
                              "Keep-Alive": "timeout=15"})
                connection.sendall(shed)
                if chance.random() < CONFIG.get("extra_share", 0):
                    say("will answer again", attempt=attempt)
                    late = shed
                continue
            if not answer(connection, method, target, headers, body):
                return
    except OSError:
        return
    finally:
        connection.close()


def plain(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer(connection, method, target, headers, body):
    """Answer one request; return whether the connection is kept."""
    if target == "/health":
        connection.sendall(plain("200 OK",
                                 {"X-Instance-Id": CONFIG["identifier"]}))
        return True
    expected = headers.get("x-expected-instance")
    attempt = headers.get("x-attempt-id", "")
    if expected not in (None, CONFIG["identifier"]):
        connection.sendall(plain("421 Misdirected Request",
                                 {"X-Instance-Id": CONFIG["identifier"]}))
        return True
    say("runs", attempt=attempt, target=target,
        resumes=headers.get("last-event-id", ""))
    if CONFIG.get("stream"):
        return stream(connection, attempt, headers)
    time.sleep(CONFIG.get("work_s", 0.05))
    connection.sendall(plain("200 OK", {"X-Attempt-Id": attempt,
                                        "X-Response-Signature": SIGNATURE,
                                        "Keep-Alive": "timeout=15"},
                             b"x" * 800))
    return True


def stream(connection, attempt, headers):
    """Send numbered events of 46 tokens, as many as the client asks for."""
    output_tokens = int(headers.get("x-token-counts", "0,0").split(",")[1])
    total = max(1, output_tokens // 46)
    last = int(headers.get("last-event-id", "0") or 0)
    connection.sendall((
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Response-Signature: {SIGNATURE}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n").encode())
    text = "t" * CONFIG.get("event_bytes", 46)
    for number in range(last + 1, total + 1):
        time.sleep(CONFIG["pause_s"])
        event = f"id: {number}\ndata: {text}\n\n".encode()
        chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
        connection.sendall(chunk)
    connection.sendall(b"0\r\n\r\n")
    say("answered", attempt=attempt, events=total - last)
    return True


def main():
    host, _, port = ADDRESS.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(256)
    threading.Thread(target=beats, daemon=True).start()
    say("starts")
    while True:
        try:
            connection, _ = listener.accept()
        except InterruptedError:
            continue
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
