"""A stand-in for a server of a service, as the platform's pages describe it.

Usage: server.py SETTINGS, a JSON file with these keys:
    identifier, service, address, zone: What its heartbeats state.
    control: Addresses of the processes that serve `control`.
    slots: Requests that it runs at a time.
    record: File to which it appends one JSON line for each event.
    work_s: Time that a request takes before its answer begins.
    body_bytes: Size of its answers.
    unframed: Path whose answers have no length and end with their connection,
        and are sent in pieces; empty for none.
    pieces: Number of parts in which an answer is sent.
    piece_gap_s: Pause between the parts.

SIGUSR1 makes it drain: it reports `draining` with its heartbeats, and goes on
serving. It never ends by itself.
"""

import asyncio
import json
import signal
import sys
import time

HEARTBEAT_INTERVAL_S = 1.2
HEARTBEAT_TIMEOUT_S = 1.0
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


def answer_body(attempt, size):
    """Return the whole body of the answer to a client attempt."""
    line = f"answer to {attempt} ".encode()
    return (line * (size // len(line) + 1))[:size]


async def read_head(reader):
    """Return the start line and the headers of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """One server with its heartbeats."""

    def __init__(self, settings):
        self.settings = settings
        self.identifier = settings["identifier"]
        self.state = "ready"
        self.sequence = 0
        self.control = list(settings["control"])
        self.record_file = open(settings["record"], "a", buffering=1)  # noqa: SIM115
        self.slots = asyncio.Semaphore(settings.get("slots", 6))
        self.beat_now = asyncio.Event()

    def record(self, event, **fields):
        """Append an event to the record."""
        line = {
            "at": time.time(),
            "server": self.identifier,
            "event": event,
            **fields,
        }
        self.record_file.write(json.dumps(line) + "\n")

    async def run(self):
        """Serve and send heartbeats until killed."""
        host, port = self.settings["address"].split(":")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.drain)
        server = await asyncio.start_server(self.serve, host, int(port))
        async with server:
            await self.send_heartbeats()

    def drain(self):
        """Report `draining` from now on."""
        self.state = "draining"
        self.beat_now.set()

    async def send_heartbeats(self):
        """Send a heartbeat about every `HEARTBEAT_INTERVAL_S`."""
        while True:
            self.beat_now.clear()
            state = self.state
            if await self.send_heartbeat(state):
                self.record("heartbeat acknowledged", state=state)
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.beat_now.wait()
            except TimeoutError:
                continue

    async def send_heartbeat(self, state):
        """Call the next daemon until one acknowledges; at most all once."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.settings["service"],
                "address": self.settings["address"],
                "zone": self.settings["zone"],
                "version": "v1",
                "slots": self.settings.get("slots", 6),
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
            }
        ).encode()
        for _ in range(len(self.control)):
            try:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    status = await self.put(self.control[0], body)
            except (OSError, TimeoutError, ValueError):
                status = 0
            if 200 <= status < 300:
                return True
            self.control.append(self.control.pop(0))
        return False

    async def put(self, address, body):
        """Send a heartbeat to one daemon; return the status."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"PUT /v1/instances/{self.identifier} HTTP/1.1\r\n"
                f"Host: {address}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n".encode() + body
            )
            head = await read_head(reader)
            return int(head[0].split()[1]) if head else 0
        finally:
            writer.close()

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                if not await self.respond(line, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            self.record("connection lost")
        finally:
            writer.close()

    async def respond(self, line, headers, body, writer):
        """Answer one request; return whether the connection is kept."""
        method, target, _ = line.split()
        attempt = headers.get("x-attempt-id", "")
        if target == "/health":
            self.write_whole(
                writer, "200 OK", f"X-Instance-Id: {self.identifier}"
            )
            return True
        expected = headers.get("x-expected-instance", self.identifier)
        if expected != self.identifier:
            self.write_whole(
                writer,
                "421 Misdirected Request",
                f"X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1",
            )
            return True
        if not attempt:
            self.write_whole(writer, "400 Bad Request", "X-Not-Executed: 1")
            return True
        async with self.slots:
            self.record(
                "run",
                attempt=attempt,
                method=method,
                target=target,
                body_bytes=len(body),
                tenant=headers.get("x-tenant", ""),
            )
            await asyncio.sleep(self.settings.get("work_s", 0.02))
            return await self.send_answer(attempt, target, writer)

    def write_whole(self, writer, status, headers):
        """Write a response without a body."""
        writer.write(
            f"HTTP/1.1 {status}\r\n{headers}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    async def send_answer(self, attempt, target, writer):
        """Send an answer, in pieces without a length on the path set so."""
        size = self.settings.get("body_bytes", 800)
        unframed = target == self.settings.get("unframed", "")
        body = answer_body(attempt, size)
        framing = (
            "Connection: close"
            if unframed
            else f"Content-Length: {size}\r\nKeep-Alive: timeout=5"
        )
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            f"X-Attempt-Id: {attempt}\r\n"
            f"X-Response-Signature: {SIGNATURE}\r\n"
            f"{framing}\r\n\r\n".encode()
        )
        pieces = self.settings.get("pieces", 1) if unframed else 1
        step = -(-size // pieces)
        for start in range(0, size, step):
            if start:
                await asyncio.sleep(self.settings.get("piece_gap_s", 0.0))
            writer.write(body[start : start + step])
            await writer.drain()
            self.record(
                "answer sent",
                attempt=attempt,
                target=target,
                sent=min(size, start + step),
                of=size,
            )
        return not unframed


def main():
    """Run the server that the settings file describes."""
    with open(sys.argv[1], encoding="utf-8") as file:
        settings = json.load(file)
    asyncio.run(Server(settings).run())


if __name__ == "__main__":
    main()
