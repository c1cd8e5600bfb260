"""The keys of the only tenant are taken away from its connected clients."""

import http.client
import json
import pathlib
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig2  # noqa: E402

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER_HELD = "zzzz9999zzzz9999zzzz"
REVOCATION_S = rig2.BOUNDS["revocationMs"] / 1000
ran = {}


def start_server(rig, number):
    port = rig2.free_port([rig.server_host])
    settings = {
        "identifier": f"i-7f3a91c{number}", "service": "wuno96b",
        "address": f"{rig.server_host}:{port}",
        "zone": rig2.ZONES[number % 3], "slots": 6,
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
                ran[fields["attempt"]] = rig.record.now()
            rig.record.write("server " + event, **fields)

    threading.Thread(target=copy, daemon=True).start()


def configuration(version, tenants):
    found = rig2.configuration(
        version,
        [rig2.route("r-fi6y7z5", "/puxa403/", "wuno96b", "unsafe",
                    timeoutMs=1000, attempts=1)],
        [rig2.service("wuno96b", connectionLimit=110)])
    return found | {"tenants": tenants}


class Client:
    """A client with a key and a kept connection to one gateway."""

    def __init__(self, rig, machine, key, label):
        self.rig, self.key, self.label = rig, key, label
        host, _, port = machine.address("front").rpartition(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=3)

    def send(self):
        """Send one request; return its id, the time and the status."""
        attempt = rig2.attempt_id()
        sent = self.rig.record.now()
        headers = {"Host": rig2.HOST, "X-Attempt-Id": attempt,
                   "X-Deadline-Milliseconds": "1500"}
        if self.key:
            headers["X-Api-Key"] = self.key
        try:
            self.connection.request("POST", "/puxa403/2f", b"{}", headers)
            response = self.connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            self.connection.close()
            status = type(error).__name__
        self.rig.record.write("client got", key=self.label, attempt=attempt,
                              sent=f"{sent:.3f}", status=status)
        return attempt, sent, status


def play(rig):
    tenant = {"name": rig2.TENANT, "apiKeys": KEYS, "priority": 1}
    rig.put_config(configuration(7, [tenant]))
    for number in range(3):
        start_server(rig, number)
    rig.wait_ready()
    time.sleep(5)
    clients = [Client(rig, machine, key, f"key{number}")
               for machine in rig.machines
               for number, key in enumerate(KEYS)]
    before = [client.send() for client in clients]
    if any(status != 200 for _, _, status in before):
        raise rig2.CouldNotRun("the keys were not accepted at first")
    # Without the disruption, the same tenant keeps its keys.
    left = [] if rig2.TROUBLE else [tenant]
    acknowledged = rig.put_config(configuration(9, left))
    late = []
    while rig.record.now() < acknowledged + REVOCATION_S + 5:
        late += [client.send() for client in clients]
        time.sleep(0.5)
    others = [Client(rig, machine, key, label)
              for machine in rig.machines
              for key, label in ((NEVER_HELD, "never held"), ("", "none"))]
    strangers = [client.send() for client in others]
    time.sleep(0.3)
    revoked = [a for a, sent, _ in late
               if a in ran and sent > acknowledged + REVOCATION_S]
    strange, keyless = (
        sum(a in ran for client, (a, _, _) in zip(others, strangers)
            if client.label == label)
        for label in ("never held", "none"))
    refused = sum(status == 401 for _, _, status in strangers)
    if not rig2.TROUBLE:
        served = sum(status == 200 for _, _, status in late)
        rig.record.write("verdict", served=served, of=len(late),
                         ran_with_a_key_never_held=strange,
                         ran_without_a_key=keyless, strangers_401=refused)
        return rig2.BROKEN if strange or served < len(late) else rig2.HELD
    rig.record.write("verdict", ran_with_a_revoked_key=len(revoked),
                     ran_with_a_key_never_held=strange,
                     ran_without_a_key=keyless, strangers_401=refused)
    return rig2.BROKEN if revoked or strange else rig2.HELD


rig2.main(FOLDER, play)
