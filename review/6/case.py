"""Callers that read slowly lose the rest of answers that are complete."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig2  # noqa: E402

EVENTS, EVENT_BYTES, PAUSE_S = 50, 500, 0.06
CLIENTS = 6
DEADLINE_S = 10.0
answered = set()
RECEIVE_BUFFER_BYTES = 4096
# Without the disruption, clients read all the time.
UNREAD_S = float(os.environ.get("UNREAD_S", "5")) if rig2.TROUBLE else 0.0
# The bounds of the site that the case names.
rig2.BOUNDS.update(seedLagS=3, contactMs=4000, ackTimeoutMs=5000, catchUpS=6,
                   drainMs=2500, configPropagationMs=2500, outerMs=6000,
                   budgetSlack=260, recoveryS=15, passMs=200)
PROPAGATION_S = rig2.BOUNDS["configPropagationMs"] / 1000


def start_server(rig, number):
    port = rig2.free_port([rig.server_host])
    settings = {
        "identifier": f"i-7f3a91c{number}", "service": "huvo11a",
        "address": f"{rig.server_host}:{port}",
        "zone": rig2.ZONES[number % 3], "stream": True, "slots": 6,
        "pause_s": PAUSE_S, "event_bytes": EVENT_BYTES,
        "control": [m.address("control") for m in rig.machines],
    }
    child = rig.spawn(
        [sys.executable, str(FOLDER.parent / "server2.py"),
         json.dumps(settings)], stdout=subprocess.PIPE)

    def copy():
        for line in child.stdout:
            fields = json.loads(line)
            fields.pop("at")
            event = fields.pop("event")
            if event == "answered":
                answered.add(fields["attempt"])
            rig.record.write("server " + event, **fields)

    threading.Thread(target=copy, daemon=True).start()


def send(connection, events):
    """Send one request on a connection; return its id."""
    attempt = rig2.attempt_id()
    connection.sendall((
        "POST /lohu930/2f HTTP/1.1\r\n"
        f"Host: {rig2.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Model: m\r\nX-Token-Counts: 45000,{events * 46}\r\n"
        "X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:44960\r\n"
        "X-Deadline-Milliseconds: 10000\r\n"
        f"X-Api-Key: {rig2.KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode())
    return attempt


def read(connection, unread_s):
    """Read an answer in chunks, with a pause after its first events.

    Returns the bytes, whether the answer is complete, and how it ended.
    """
    data = connection.recv(1024)
    if unread_s:
        time.sleep(unread_s)
    try:
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = connection.recv(1024)
            if not part:
                return data, False, "closed"
            data += part
    except OSError as error:
        return data, False, type(error).__name__
    return data, True, "complete"


@dataclasses.dataclass
class Result:
    """How a request ended for its client."""

    attempt: str
    is_whole: bool
    end: str
    sent: float
    ended: float

    def is_lost(self, signalled):
        """Return whether the rule counts a loss around a SIGHUP."""
        return (not self.is_whole and self.end != "TimeoutError"
                and self.attempt in answered
                and self.sent <= signalled + PROPAGATION_S
                and self.ended < self.sent + DEADLINE_S)


class Client:
    """A client with a kept connection and a small receive buffer."""

    def __init__(self, rig, machine):
        self.rig, self.machine = rig, machine
        host, _, port = machine.address("front").rpartition(":")
        self.connection = socket.socket()
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.connection.settimeout(15)
        self.connection.connect((host, int(port)))
        self.result = None

    def get(self, events, unread_s):
        """Send a request and read its answer; record what came."""
        attempt = send(self.connection, events)
        sent = self.rig.record.now()
        self.rig.record.write("client sends", attempt=attempt,
                              to=self.machine.name)
        data, whole, end = read(self.connection, unread_s)
        got = sum(line.startswith(b"id: ") for line in data.split(b"\n"))
        self.rig.record.write("client got", attempt=attempt, end=end,
                              after=f"{self.rig.record.now() - sent:.2f}",
                              status=data[9:12].decode("latin1"),
                              events=got, of=events, bytes=len(data))
        self.result = Result(attempt, whole and got == events, end, sent,
                             self.rig.record.now())


def play(rig):
    rig.put_config(rig2.configuration(
        7,
        [rig2.route("r-fi6y7z5", "/lohu930/", "huvo11a", "streaming",
                    targetLatencyMs=1500, stickySessions=True, resumable=True,
                    gapTargetMs=600)],
        [rig2.service("huvo11a", rig2.ENGINE)]))
    for number in range(3):
        start_server(rig, number)
    rig.wait_ready()
    time.sleep(5)
    clients = [Client(rig, rig.machines[number % len(rig.machines)])
               for number in range(CLIENTS)]
    for client in clients:
        client.get(2, 0.0)
    if not all(client.result.is_whole for client in clients):
        raise rig2.CouldNotRun("short answers were not served")
    for machine in rig.machines:
        machine.processes["gateway"].send_signal(signal.SIGHUP)
        machine.processes["control"].send_signal(signal.SIGHUP)
    signalled = rig.record.now()
    rig.record.write("SIGHUP to all processes")
    time.sleep(0.3)
    threads = [threading.Thread(target=client.get, args=(EVENTS, UNREAD_S))
               for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(0.3)
    lost = [client for client in clients if client.result.is_lost(signalled)]
    rig.record.write("verdict", answers=len(clients), lost=len(lost))
    return rig2.BROKEN if lost else rig2.HELD


rig2.main(FOLDER, play)
