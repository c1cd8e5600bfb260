"""An operator changes the configuration; its versions are dates with the time.

The change must be acknowledged, or refused with a 4xx, and no process may end
of it.
"""

import datetime
import http.client
import json
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
RECORD = CASE / "record.txt"
sys.path.insert(0, str(CASE.parent))

import rig  # noqa: E402

# Callers move on after a second without a response.
OPERATOR_TIMEOUT_S = 1.0
# A refusal ends a call; other responses are followed by the next daemon.
FINAL_STATUSES = (400, 409, 412, 413, 422)
BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
TRIES = 20
# Year to microsecond: 20 digits, such as 20261204155536000000.
VERSION_FORMAT = "%Y%m%d%H%M%S%f"
USUAL_VERSION = 9
# The platform starts a process that ended again after a short delay.
RESTART_DELAY_S = 0.5
# The rule counts processes that end three times on half of the core.
ENDS_PER_MACHINE = 3
MACHINES = 2


class Platform:
    """Starts processes that have ended again, and counts their ends."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ends = dict.fromkeys(deployment.processes, 0)
        self.due = {}

    def check(self):
        """Count processes that have ended, and start those that are due."""
        deployment = self.deployment
        for name in self.ends:
            process = deployment.processes[name]
            if process.poll() is not None and name not in self.due:
                self.ends[name] += 1
                self.due[name] = time.time() + RESTART_DELAY_S
                deployment.note(
                    f"{name} ended by itself with {process.returncode}"
                )
            if name in self.due and time.time() >= self.due[name]:
                del self.due[name]
                role, _, index = name.partition("-")
                deployment.start_program(role, int(index))

    def wait(self, seconds):
        """Wait and check meanwhile."""
        end = time.time() + seconds
        while time.time() < end:
            self.check()
            time.sleep(0.05)


def put(deployment, index, body):
    """Send a configuration to one daemon; return the status, 0 for none."""
    connection = http.client.HTTPConnection(
        deployment.machines[index],
        deployment.ports["control"],
        timeout=OPERATOR_TIMEOUT_S,
    )
    try:
        connection.request(
            "PUT",
            "/v1/configuration",
            body,
            {"Content-Type": "application/json"},
        )
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def main(record, trouble):
    """Run the case; return whether the rule held."""
    deployment = rig.Deployment(record)
    try:
        deployment.start_all()
        routes = [rig.route("book", "unsafe", "app")]
        deployment.put_configuration(rig.configuration(routes, ["app"]))
        deployment.start_server(1, service="app")
        deployment.wait_until_ready(1)
        platform = Platform(deployment)
        version = USUAL_VERSION
        if trouble:
            now = datetime.datetime.now(datetime.UTC)
            version = int(now.strftime(VERSION_FORMAT))
        body = json.dumps(rig.configuration(routes, ["app"], version))
        deployment.note(f"operator: sends version {version}")
        backoff_s = BACKOFF_S
        for number in range(TRIES):
            index = number % 3
            status = put(deployment, index, body)
            deployment.note(f"operator: PUT at front-{index}: {status}")
            if status in FINAL_STATUSES or 200 <= status < 300:
                break
            platform.wait(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 1.5 * backoff_s)
        platform.wait(2)
        deployment.note(f"processes that ended by themselves: {platform.ends}")
        often = [
            name
            for name, ends in platform.ends.items()
            if ends >= ENDS_PER_MACHINE
        ]
        return len(often) < MACHINES
    finally:
        deployment.stop()


if __name__ == "__main__":
    rig.run_case(main, RECORD)
