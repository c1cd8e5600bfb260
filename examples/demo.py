"""Starts a complete system on loopback and demonstrates its functions."""

import json
import pathlib
import tempfile
import threading
import time

from _coltsfootroad.fakes import fleet as fleet_lib


def print_step(text: str) -> None:
    """Print a line of the demo."""
    print(f"demo: {text}", flush=True)


def show_addresses(fleet: fleet_lib.Fleet) -> str:
    """Request the address of an entry, as a caller does."""
    url = f"http://{fleet.listen['entry-0']}/v1/addresses"
    answer = json.loads(fleet.fetch(url).body)
    print_step(f"asked entry-0 which address to use: {answer}")
    best = answer["addresses"][0]
    return next(n for n, a in fleet.listen.items() if a == best)


def show_completion(fleet: fleet_lib.Fleet, entry: str) -> None:
    """Request a completion without streaming."""
    response = fleet.request_completion(entry, "is plate KX-1234 active?", 8)
    text = json.loads(response.body)["choices"][0]["text"]
    print_step(f"{entry} answered {response.code}: {text!r}")


def show_charge(fleet: fleet_lib.Fleet) -> None:
    """Make a charge and resend it through another entry."""
    key = f"{int(time.time())}-demo"
    for entry in ("entry-0", "entry-1"):
        response = fleet.charge(entry, key, "plan=monthly")
        runs = json.loads(response.body)["runs"]
        print_step(
            f"charge {key} through {entry}: {response.code}, ran {runs} time"
        )


def show_patch(fleet: fleet_lib.Fleet) -> None:
    """Patch the configuration and send a request that it affects."""
    patch = {"services": {"assistant": {"max_output_tokens": 4}}}
    code = fleet.patch(1, patch)
    print_step(f"patch against version 1: exit code {code}")
    print_step(
        f"same base version again: exit code {fleet.patch(1, patch)} (stale)"
    )
    print_step(fleet.ctl("config", "watch", "2").stdout.strip())
    response = fleet.request_completion(
        "entry-1", "is plate KX-1234 active?", 8
    )
    print_step(f"8 tokens now: {json.loads(response.body)['error']}")


def show_drain(fleet: fleet_lib.Fleet) -> None:
    """Shut an entry down while it serves a request."""
    answers = []

    def send_request() -> None:
        second_client = fleet_lib.Fleet(fleet.folder, listen=fleet.listen)
        prompt = "a season of wash logs " * 20_000
        answers.append(second_client.request_completion("entry-2", prompt, 4))

    thread = threading.Thread(target=send_request)
    thread.start()
    time.sleep(0.3)
    code = fleet.programs["entry-2"].stop()
    thread.join()
    print_step(
        f"entry-2 stopped with exit code {code}; its request in progress"
        f" was answered with status {answers[0].code}"
    )


def show_failover(fleet: fleet_lib.Fleet) -> None:
    """Kill the leader and send a request after the failover."""
    leader = fleet.leader()
    fleet.programs[leader].kill()
    started = time.monotonic()
    fleet.wait_for(lambda: fleet.leader() not in (None, leader), "a leader")
    took_s = time.monotonic() - started
    print_step(
        f"killed leader {leader}; {fleet.leader()} leads after {took_s:.1f} s"
    )
    show_completion_short(fleet)


def show_completion_short(fleet: fleet_lib.Fleet) -> None:
    """Request a completion within the patched token limit."""
    response = fleet.request_completion(
        "entry-0", "is plate KX-1234 active?", 4
    )
    print_step(f"entry-0 answers {response.code}")


def main() -> None:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleet_lib.Fleet(
            pathlib.Path(folder), replicas=3, entry_count=3, engines=3
        )
        try:
            print_step("starting 3 control replicas, 3 entries, 4 endpoints")
            fleet.start(fleet_lib.default_config())
            entry = show_addresses(fleet)
            show_completion(fleet, entry)
            show_charge(fleet)
            show_patch(fleet)
            show_drain(fleet)
            show_failover(fleet)
            print(fleet.ctl("status").stdout)
            print_step("done")
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
