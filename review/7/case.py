"""Streams without a length at a server that shuts down as planned."""

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

PAUSE_S = 0.1
LONG, SHORT = 60, 2
LONG_STREAMS, SHORT_STREAMS = 12, 66
# One answer of each server has no length, 2 of 78: 2.6 in 100.
UNFRAMED = 1
CRASH = os.environ.get("CRASH") == "1"


def start_server(rig, number):
    port = rig2.free_port([rig.server_host])
    settings = {
        "identifier": f"i-7f3a91c{number}", "service": "huvo11a",
        "address": f"{rig.server_host}:{port}",
        "zone": rig2.ZONES[number % 3], "stream": True, "unframed": UNFRAMED,
        "pause_s": PAUSE_S, "serve_on_s": 2.5, "slots": 16,
        "control": [m.address("control") for m in rig.machines],
    }
    child = rig.spawn(
        [sys.executable, str(FOLDER.parent / "server2.py"),
         json.dumps(settings)], stdout=subprocess.PIPE)

    def copy():
        for line in child.stdout:
            fields = json.loads(line)
            fields.pop("at")
            rig.record.write("server " + fields.pop("event"), **fields)

    threading.Thread(target=copy, daemon=True).start()
    return child


def read_stream(rig, address, events_asked, results):
    """Send one request; record the events and whether the answer is whole."""
    host, _, port = address.rpartition(":")
    attempt = rig2.attempt_id()
    data, whole, status = b"", False, ""
    with socket.create_connection((host, int(port)), timeout=15) as connection:
        connection.sendall((
            "POST /lohu930/2f HTTP/1.1\r\n"
            f"Host: {rig2.HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Model: m\r\nX-Token-Counts: 1460,{events_asked * 46}\r\n"
            "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n"
            "X-Deadline-Milliseconds: 10000\r\n"
            f"X-Api-Key: {rig2.KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        ).encode())
        rig.record.write("client sends", attempt=attempt, to=address)
        try:
            while not whole:
                part = connection.recv(65536)
                if not part:
                    break
                data += part
                # The gateway answers in chunks; the last one is empty.
                whole = data.endswith(b"\r\n0\r\n\r\n") or (
                    not data.startswith(b"HTTP/1.1 200") and
                    b"\r\n\r\n" in data)
        except OSError:
            pass
    status = data[9:12].decode("latin1")
    events = [int(line[4:]) for line in data.split(b"\n")
              if line.startswith(b"id: ")]
    rig.record.write("client got", attempt=attempt, status=status,
                     events=len(events), of=events_asked, whole=whole)
    results.append((status, events, whole, events_asked))


def start_streams(rig, count, events, gap_s, results):
    """Start clients one after the other, at all gateways in turn."""
    clients = []
    for number in range(count):
        machine = rig.machines[number % len(rig.machines)]
        client = threading.Thread(
            target=read_stream,
            args=(rig, machine.address("front"), events, results))
        client.start()
        clients.append(client)
        time.sleep(gap_s)
    return clients


def play_streams(rig, count, events, gap_s, results):
    """Run clients until all of them have their answers."""
    for client in start_streams(rig, count, events, gap_s, results):
        client.join()


def play(rig):
    rig.put_config(rig2.configuration(
        7,
        [rig2.route("r-2yhvz3p", "/lohu930/", "huvo11a", "streaming",
                    stickySessions=True, resumable=True, gapTargetMs=200)],
        [rig2.service("huvo11a", rig2.ENGINE)]))
    servers = [start_server(rig, number) for number in range(2)]
    rig.wait_ready()
    time.sleep(5)
    results = []
    play_streams(rig, SHORT_STREAMS, SHORT, 0.05, results)
    clients = start_streams(rig, LONG_STREAMS, LONG, 0.1, results)
    if rig2.TROUBLE:
        rig.record.write("server is killed" if CRASH else
                         "planned shutdown begins", server="i-7f3a91c0")
        servers[0].send_signal(signal.SIGKILL if CRASH else signal.SIGTERM)
    for client in clients:
        client.join()
    served = [r for r in results if r[0] == "200"]
    if len(served) < (SHORT_STREAMS + LONG_STREAMS) // 2:
        raise rig2.CouldNotRun(f"only {len(served)} streams were served")
    broken = [r for r in served
              if r[2] and r[1] != list(range(1, r[3] + 1))]
    rig.record.write("verdict", served=len(served),
                     whole=sum(r[2] for r in served),
                     ended_early_as_complete=len(broken))
    return rig2.BROKEN if broken else rig2.HELD


rig2.main(FOLDER, play)
