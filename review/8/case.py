"""One full server at a time answers a few requests a second time, late."""

import collections
import http.client
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig2  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
PLAY_S = 90
CLIENTS = 64
SERVERS = 8
ATTEMPTS = 1
# The rule allows three requests.
ALLOWED = 3
SHED_SHARE, EXTRA_SHARE = 0.45, 0.03
# An episode is one entry of each of both faults; it strikes one server of
# eight, and the next server in the next episode.
EPISODE_S, EVERY_S = 5.0, 6.0
ran = collections.defaultdict(list)


def start_server(rig, number):
    port = rig2.free_port([rig.server_host])
    settings = {
        "identifier": f"i-7f3a91c{number}", "service": "wuno96b",
        "address": f"{rig.server_host}:{port}", "seed": SEED,
        "zone": rig2.ZONES[number % 3], "slots": 6, "work_s": 0.06,
        "shed_share": SHED_SHARE,
        "episode_s": EPISODE_S, "every_s": EVERY_S,
        "turn": number, "turns": SERVERS,
        "extra_share": EXTRA_SHARE if rig2.TROUBLE else 0,
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
            if event == "runs":
                ran[fields["attempt"]].append(fields["server"])
            rig.record.write("server " + event, **fields)

    threading.Thread(target=copy, daemon=True).start()


def client(rig, machine, end, counts):
    """Send requests on a kept connection until the end."""
    host, _, port = machine.address("front").rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=3)
    while time.monotonic() < end:
        attempt = rig2.attempt_id()
        headers = {"Host": rig2.HOST, "X-Attempt-Id": attempt,
                   "X-Deadline-Milliseconds": "1500", "X-Api-Key": rig2.KEY}
        try:
            connection.request("GET", "/puxa403/2f", None, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            status = type(error).__name__
        counts[status] += 1
        rig.record.write("client got", attempt=attempt, status=status)
        time.sleep(0.05)


def play(rig):
    rig.put_config(rig2.configuration(
        7,
        [rig2.route("r-fi6y7z5", "/puxa403/", "wuno96b", "safe",
                    timeoutMs=1000, attempts=ATTEMPTS)],
        [rig2.service("wuno96b", connectionLimit=110)]))
    for number in range(SERVERS):
        start_server(rig, number)
    rig.wait_ready()
    time.sleep(5)
    counts = collections.Counter()
    end = time.monotonic() + PLAY_S
    clients = [
        threading.Thread(target=client, args=(
            rig, rig.machines[number % len(rig.machines)], end, counts))
        for number in range(CLIENTS)]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    time.sleep(0.5)
    if counts[200] < sum(counts.values()) / 2:
        raise rig2.CouldNotRun(f"answers: {dict(counts)}")
    over = [a for a, servers in ran.items() if len(set(servers)) > ATTEMPTS]
    for attempt in over:
        rig.record.write("ran at several servers", attempt=attempt,
                         servers=",".join(ran[attempt]))
    rig.record.write("verdict", answers=dict(counts),
                     over_attempts=len(over), allowed=ALLOWED)
    return rig2.BROKEN if len(over) > ALLOWED else rig2.HELD


rig2.main(FOLDER, play)
