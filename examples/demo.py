"""Starts a whole system on loopback, uses it, and says what happens."""

import json
import pathlib
import tempfile
import threading
import time

from _coltsfootroad.fakes import fleet as fleet_lib


def say(text: str) -> None:
    """Print a step."""
    print(f"demo: {text}", flush=True)


def show_addresses(fleet: fleet_lib.Fleet) -> str:
    """Ask which entry to use, as a caller would."""
    url = f"http://{fleet.listen['entry-0']}/v1/addresses"
    answer = json.loads(fleet.fetch(url).body)
    say(f"asked entry-0 which address to use: {answer}")
    best = answer["addresses"][0]
    return next(n for n, a in fleet.listen.items() if a == best)


def show_completion(fleet: fleet_lib.Fleet, entry: str) -> None:
    """Get a whole answer."""
    response = fleet.request_completion(entry, "is plate KX-1234 active?", 8)
    text = json.loads(response.body)["choices"][0]["text"]
    say(f"{entry} answered {response.code}: {text!r}")


def show_charge(fleet: fleet_lib.Fleet) -> None:
    """Charge once, and resend through another entry."""
    key = f"{int(time.time())}-demo"
    for entry in ("entry-0", "entry-1"):
        response = fleet.charge(entry, key, "plan=monthly")
        runs = json.loads(response.body)["runs"]
        say(f"charge {key} through {entry}: {response.code}, ran {runs} time")


def show_patch(fleet: fleet_lib.Fleet) -> None:
    """Patch the configuration and see the next request obey."""
    patch = {"services": {"assistant": {"max_output_tokens": 4}}}
    code = fleet.patch(1, patch)
    say(f"patch against version 1: exit code {code}")
    say(f"the same number again: exit code {fleet.patch(1, patch)} (stale)")
    say(fleet.ctl("config", "watch", "2").stdout.strip())
    response = fleet.request_completion(
        "entry-1", "is plate KX-1234 active?", 8
    )
    say(f"8 tokens now: {json.loads(response.body)['error']}")


def show_drain(fleet: fleet_lib.Fleet) -> None:
    """Shut an entry down while it serves a request."""
    answers = []

    def ask() -> None:
        with_own_client = fleet_lib.Fleet(fleet.folder, listen=fleet.listen)
        prompt = "a season of wash logs " * 20_000
        answers.append(with_own_client.request_completion("entry-2", prompt, 4))

    thread = threading.Thread(target=ask)
    thread.start()
    time.sleep(0.3)
    code = fleet.programs["entry-2"].stop()
    thread.join()
    say(
        f"entry-2 stopped with exit code {code}; its request in progress"
        f" was answered with status {answers[0].code}"
    )


def show_failover(fleet: fleet_lib.Fleet) -> None:
    """Kill the leader and see requests go on."""
    leader = fleet.leader()
    fleet.programs[leader].kill()
    started = time.monotonic()
    fleet.wait_for(lambda: fleet.leader() not in (None, leader), "a leader")
    took = time.monotonic() - started
    say(f"killed leader {leader}; {fleet.leader()} leads after {took:.1f} s")
    show_completion_short(fleet)


def show_completion_short(fleet: fleet_lib.Fleet) -> None:
    """Get an answer within the patched bound."""
    response = fleet.request_completion(
        "entry-0", "is plate KX-1234 active?", 4
    )
    say(f"entry-0 answers {response.code}")


def main() -> None:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleet_lib.Fleet(
            pathlib.Path(folder), replicas=3, entry_count=3, engines=3
        )
        try:
            say("starting 3 control replicas, 3 entries, 4 endpoints")
            fleet.start(fleet_lib.default_config())
            entry = show_addresses(fleet)
            show_completion(fleet, entry)
            show_charge(fleet)
            show_patch(fleet)
            show_drain(fleet)
            show_failover(fleet)
            print(fleet.ctl("status").stdout)
            say("done")
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
