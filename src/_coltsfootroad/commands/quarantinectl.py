"""Quarantine commands of `colts-ctl`."""

import json
import time

from _coltsfootroad.commands import common
from _coltsfootroad.commands import ctlclient
from _coltsfootroad.core import fingerprints

PATH = "/v1/quarantine"


def list_entries(client: ctlclient.Client) -> int:
    """Print the quarantined requests."""
    response = client.call_leader(PATH)
    if response.code != 200:
        return ctlclient.report_failure(response)
    entries = json.loads(response.body)["entries"]
    lines = [format_entry(entry, time.time()) for entry in entries]
    ctlclient.print_result(entries, "\n".join(lines) or "none")
    return common.EXIT_OK


def format_entry(entry: dict, unix_s: float) -> str:
    """Return one quarantine entry as a line of text."""
    trial = "no trial"
    if entry["trial_at"] is not None:
        remaining_s = max(0, round(entry["trial_at"] - unix_s))
        trial = f"trial in {remaining_s} s"
    size = f"{entry['body_bytes']} bytes"
    if entry.get("kind") == "part":
        size = "part of prompts"
    return (
        f"{entry['fingerprint']} of workspace {entry['workspace']!r},"
        f" {size}: {entry['reason']},"
        f" {entry['crashes']} crashes, since"
        f" {round(unix_s - entry['since'])} s,"
        f" {entry['trials']} trials, {trial}"
    )


def add(
    client: ctlclient.Client,
    workspace: str,
    body_bytes: str,
    fingerprint: str,
    reason: str,
) -> int:
    """Add a request to the quarantine."""
    if not body_bytes.isdigit():
        common.print_error(f"BODY_BYTES must be a number, not {body_bytes!r}")
        return common.EXIT_USAGE
    document = {
        "workspace": workspace,
        "body_bytes": int(body_bytes),
        "fingerprint": fingerprint,
        "reason": reason,
    }
    return post(client, document, f"{fingerprint} is in quarantine")


def add_part(
    client: ctlclient.Client, workspace: str, part: str, reason: str
) -> int:
    """Add a part of prompts to the quarantine."""
    document = {"workspace": workspace, "part": part, "reason": reason}
    return post(client, document, f"part {part} is in quarantine")


def post(client: ctlclient.Client, document: dict, text: str) -> int:
    """Send a new entry to the leader."""
    response = client.call_leader(
        PATH, method="POST", body=json.dumps(document)
    )
    if response.code != 200:
        return ctlclient.report_failure(response)
    ctlclient.print_result(document, text)
    return common.EXIT_OK


def remove_part(client: ctlclient.Client, part: str) -> int:
    """Remove a part of prompts from the quarantine, in all workspaces."""
    return remove(client, fingerprints.of_part(part.lower()).text)


def remove(client: ctlclient.Client, fingerprint: str) -> int:
    """Remove a request from the quarantine."""
    response = client.call_leader(f"{PATH}/{fingerprint}", method="DELETE")
    if response.code != 200:
        return ctlclient.report_failure(response)
    text = f"{fingerprint} is out of quarantine"
    ctlclient.print_result({"removed": fingerprint}, text)
    return common.EXIT_OK
