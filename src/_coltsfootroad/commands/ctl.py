"""`colts-ctl`: operator commands, with text output or JSON for scripts.

Exit codes: 0 success; 1 refused or failed; 2 usage error; 3 the base version
of a patch is stale; 4 no replica answered.
"""

import json
import pathlib
import sys
import time
import uuid

from absl import flags

from _coltsfootroad.commands import common
from _coltsfootroad.commands import ctlclient
from _coltsfootroad.commands import evacuationctl
from _coltsfootroad.commands import quarantinectl
from _coltsfootroad.shell import settings as settings_lib

EXIT_UNREACHABLE = 4

BASE_VERSION = flags.DEFINE_integer(
    "base", None, "Configuration version that a patch is based on."
)
PATCH_ID = flags.DEFINE_string(
    "patch_id", None, "Id of a patch; use the same id to resend it."
)
REPLACES = flags.DEFINE_string(
    "replaces", "", "Identity of the replica that the new one replaces."
)

USAGE = """usage: colts-ctl --settings=FILE [--json] COMMAND

  config get                 show the configuration and its version
  config patch FILE|-        apply a JSON Merge Patch; --base=VERSION
  config watch VERSION       wait until all entries use VERSION
  status                     show leader, replicas, entries, endpoints
  endpoints                  list the endpoints
  members                    list the entries
  replica list               list the replicas and their replication lag
  replica add ADMIN_ADDRESS  add a replica as a learner and promote it to a
                             voter once it has caught up;
                             --replaces=IDENTITY removes a lost replica
  replica remove IDENTITY    remove a replica
  quarantine list            list the quarantined requests and the reasons
  quarantine add WORKSPACE BODY_BYTES FINGERPRINT REASON
                             quarantine a request, with the values that
                             the logs show; "" is the empty workspace
  quarantine remove FINGERPRINT
                             remove a request from the quarantine
  quarantine add-part WORKSPACE PART REASON
                             quarantine all requests with a part in their
                             prompt; "*" means all workspaces
  quarantine remove-part PART
                             remove a part from the quarantine
  evacuation list            list the zones that have or had an order
  evacuation set ZONE        let gateways send nothing more to the
                             endpoints of an availability zone
  evacuation withdraw ZONE   withdraw the order
  snapshot FILE              write a backup of the durable state
  drain ADMIN_ADDRESS        shut an entry down gracefully
  dump ADMIN_ADDRESS         show the state of a process"""


def get_config(client: ctlclient.Client) -> int:
    """Print the configuration and its version."""
    response = client.call_leader("/v1/config")
    if response.code != 200:
        return ctlclient.report_failure(response)
    document = json.loads(response.body)
    text = json.dumps(document["config"], indent=2)
    ctlclient.print_result(document, f"version {document['version']}\n{text}")
    return common.EXIT_OK


def patch_config(client: ctlclient.Client, source: str) -> int:
    """Apply a patch to the configuration."""
    if BASE_VERSION.value is None:
        common.print_error("config patch needs --base=VERSION")
        return common.EXIT_USAGE
    try:
        body = read_source(source)
    except OSError as error:
        common.print_error(f"patch {source}: {error.strerror}")
        return common.EXIT_USAGE
    patch_id = PATCH_ID.value or uuid.uuid4().hex
    response = client.call_leader(
        "/v1/config",
        method="PATCH",
        body=body,
        headers={
            "If-Match": str(BASE_VERSION.value),
            "X-Patch-Id": patch_id,
        },
    )
    if response.code != 200:
        return ctlclient.report_failure(response)
    document = json.loads(response.body) | {"patch_id": patch_id}
    ctlclient.print_result(document, f"version {document['version']} accepted")
    return common.EXIT_OK


def read_source(source: str) -> bytes:
    """Return the content of a file, or of standard input for `-`."""
    if source == "-":
        return sys.stdin.buffer.read()
    return pathlib.Path(source).read_bytes()


def wait_for_version(client: ctlclient.Client, text: str) -> int:
    """Wait until every live entry uses a configuration version."""
    if not text.isdigit():
        common.print_error(f"config watch needs a version number, not {text!r}")
        return common.EXIT_USAGE
    deadline = time.monotonic() + client.settings.timeout_s
    outdated = []
    while time.monotonic() < deadline:
        entries = read_status(client).get("entries", [])
        outdated = [
            e["entry"] for e in entries if e["config_version"] < int(text)
        ]
        if not outdated:
            ctlclient.print_result(
                {"in_force": True, "entries": len(entries)},
                f"version {text} in force at {len(entries)} entries",
            )
            return common.EXIT_OK
        time.sleep(ctlclient.RETRY_DELAY_S)
    ctlclient.print_result(
        {"in_force": False, "behind": outdated}, f"behind: {outdated}"
    )
    return common.EXIT_FAILED


def read_status(client: ctlclient.Client) -> dict:
    """Return the leader's status, empty if the call was refused."""
    response = client.call_leader("/v1/status")
    return json.loads(response.body) if response.code == 200 else {}


def status(client: ctlclient.Client) -> int:
    """Print the complete status."""
    response = client.call_leader("/v1/status")
    if response.code != 200:
        return ctlclient.report_failure(response)
    document = json.loads(response.body)
    lines = [
        f"leader {document['leader']}, term {document['term']},"
        f" version {document['version']}",
        *replica_lines(document),
        *member_lines(document),
        *endpoint_lines(document),
    ]
    ctlclient.print_result(document, "\n".join(lines))
    return common.EXIT_OK


def replica_lines(document: dict) -> list[str]:
    """Return one line per replica, after a line on missing ones if any are."""
    joined, needed = document["replicas_joined"], document["replicas_needed"]
    missing = [
        f"{joined} of {needed} needed replicas have joined: no change is"
        " accepted"
    ]
    return (missing if joined < needed else []) + [
        f"replica {r['identity']} at {r['address']}:"
        f" {'voter' if r['voter'] else 'learner'}, {r['state']},"
        f" {r['behind']} entries behind"
        for r in document["replicas"]
    ]


def member_lines(document: dict) -> list[str]:
    """Return one line per entry."""
    return [
        f"entry {e['entry']} at {e['address']}"
        f" in {e['availability_zone'] or '-'}: version"
        f" {e['config_version']}, {e['load']} in flight"
        f"{', leaving' if e['leaving'] else ''}"
        for e in document["entries"]
    ]


def endpoint_lines(document: dict) -> list[str]:
    """Return one line per endpoint."""
    return [
        f"endpoint {e['endpoint']} at {e['address']}: {e['service']},"
        f" {e['state']}"
        for e in document["endpoints"]
    ]


def show_status_list(client: ctlclient.Client, key: str, lines) -> int:
    """Print one list of the status."""
    response = client.call_leader("/v1/status")
    if response.code != 200:
        return ctlclient.report_failure(response)
    document = json.loads(response.body)
    ctlclient.print_result(document[key], "\n".join(lines(document)) or "none")
    return common.EXIT_OK


def change_replica_set(client: ctlclient.Client, document: dict) -> int:
    """Change the replica set; return the exit code."""
    response = client.call_leader(
        "/v1/replica", method="POST", body=json.dumps(document)
    )
    return (
        common.EXIT_OK
        if response.code == 200
        else ctlclient.report_failure(response)
    )


def add_replica(client: ctlclient.Client, address: str) -> int:
    """Add a replica as a learner; promote it once it has caught up."""
    response = client.fetch(address, "/v1/replica")
    if response is None or response.code != 200:
        common.print_error(f"replica at {address} does not answer")
        return EXIT_UNREACHABLE
    replica = json.loads(response.body)["replica"]
    code = change_replica_set(client, {"action": "learn", "replica": replica})
    if code != common.EXIT_OK:
        return code
    document = {
        "action": "promote",
        "replica": replica,
        "replaces": REPLACES.value,
    }
    deadline = time.monotonic() + client.settings.timeout_s
    while time.monotonic() < deadline:
        response = client.call_leader_once(
            "/v1/replica", method="POST", body=json.dumps(document)
        )
        if response is not None and response.code == 200:
            identity = f"{replica['name']}#{replica['disk']}"
            ctlclient.print_result(
                {"voter": identity}, f"replica {identity} is a voter"
            )
            return common.EXIT_OK
        time.sleep(ctlclient.RETRY_DELAY_S)
    common.print_error(
        "the replica is a learner that has not caught up; run the command again"
    )
    return common.EXIT_FAILED


def remove_replica(client: ctlclient.Client, identity: str) -> int:
    """Remove a replica from the replica set."""
    known = {r["identity"]: r for r in read_status(client)["replicas"]}
    if identity not in known:
        common.print_error(f"replica {identity!r} is not known: {list(known)}")
        return common.EXIT_FAILED
    name, _, disk = identity.partition("#")
    replica = {
        "name": name,
        "disk": disk,
        "address": known[identity]["address"],
    }
    code = change_replica_set(client, {"action": "remove", "replica": replica})
    if code == common.EXIT_OK:
        ctlclient.print_result(
            {"removed": identity}, f"replica {identity} removed"
        )
    return code


def snapshot(client: ctlclient.Client, path: str) -> int:
    """Write a backup of the durable state to a file."""
    response = client.call_leader("/v1/snapshot")
    if response.code != 200:
        return ctlclient.report_failure(response)
    pathlib.Path(path).write_bytes(response.body)
    ctlclient.print_result(
        {"bytes": len(response.body)}, f"{len(response.body)} bytes written"
    )
    return common.EXIT_OK


def dump(client: ctlclient.Client, address: str) -> int:
    """Print the state of a process."""
    response = client.fetch(address, "/admin/dump")
    if response is None:
        raise ctlclient.Unreachable(f"{address} does not answer")
    if response.code != 200:
        return ctlclient.report_failure(response)
    print(response.body.decode())
    return common.EXIT_OK


def drain(client: ctlclient.Client, address: str) -> int:
    """Shut an entry down gracefully."""
    response = client.fetch(address, "/admin/drain", method="POST", body=b"")
    if response is None:
        raise ctlclient.Unreachable(f"{address} does not answer")
    if response.code != 200:
        return ctlclient.report_failure(response)
    document = json.loads(response.body)
    seconds = document["accepts_for_s"]
    ctlclient.print_result(
        document,
        f"{address} is draining; it accepts requests for {seconds} s more",
    )
    return common.EXIT_OK


def run_command(client: ctlclient.Client, arguments: list[str]) -> int:
    """Run a command."""
    match arguments:
        case [group, *rest] if group in COMMAND_GROUPS:
            return COMMAND_GROUPS[group](client, rest)
        case ["status"]:
            return status(client)
        case ["endpoints"]:
            return show_status_list(client, "endpoints", endpoint_lines)
        case ["members"]:
            return show_status_list(client, "entries", member_lines)
        case ["snapshot", path]:
            return snapshot(client, path)
        case ["dump", address]:
            return dump(client, address)
        case ["drain", address]:
            return drain(client, address)
    common.print_error(f"unknown command {' '.join(arguments)!r}\n{USAGE}")
    return common.EXIT_USAGE


def run_config_command(client: ctlclient.Client, arguments: list[str]) -> int:
    """Run a configuration command."""
    match arguments:
        case ["get"]:
            return get_config(client)
        case ["patch", source]:
            return patch_config(client, source)
        case ["watch", text]:
            return wait_for_version(client, text)
    common.print_error(f"unknown config command\n{USAGE}")
    return common.EXIT_USAGE


def run_replica_command(client: ctlclient.Client, arguments: list[str]) -> int:
    """Run a replica command."""
    match arguments:
        case ["list"]:
            return show_status_list(client, "replicas", replica_lines)
        case ["add", address]:
            return add_replica(client, address)
        case ["remove", identity]:
            return remove_replica(client, identity)
    common.print_error(f"unknown replica command\n{USAGE}")
    return common.EXIT_USAGE


def run_quarantine_command(
    client: ctlclient.Client, arguments: list[str]
) -> int:
    """Run a quarantine command."""
    match arguments:
        case ["list"]:
            return quarantinectl.list_entries(client)
        case ["add", workspace, body_bytes, fingerprint, reason]:
            return quarantinectl.add(
                client, workspace, body_bytes, fingerprint, reason
            )
        case ["add-part", workspace, part, reason]:
            return quarantinectl.add_part(client, workspace, part, reason)
        case ["remove-part", part]:
            return quarantinectl.remove_part(client, part)
        case ["remove", fingerprint]:
            return quarantinectl.remove(client, fingerprint)
    common.print_error(f"unknown quarantine command\n{USAGE}")
    return common.EXIT_USAGE


def run_evacuation_command(
    client: ctlclient.Client, arguments: list[str]
) -> int:
    """Run an evacuation command."""
    code = evacuationctl.run(client, arguments)
    if code is None:
        common.print_error(f"unknown evacuation command\n{USAGE}")
        return common.EXIT_USAGE
    return code


COMMAND_GROUPS = {
    "config": run_config_command,
    "replica": run_replica_command,
    "quarantine": run_quarantine_command,
    "evacuation": run_evacuation_command,
}


def main(arguments: list[str]) -> int:
    """Run the program."""
    if not arguments[1:]:
        common.print_error(USAGE)
        return common.EXIT_USAGE
    settings = common.read_settings(settings_lib.CtlSettings)
    try:
        return run_command(ctlclient.Client(settings), arguments[1:])
    except ctlclient.Unreachable as error:
        common.print_error(str(error))
        return EXIT_UNREACHABLE


def run() -> None:
    """Run the program."""
    common.start(main, USAGE)


if __name__ == "__main__":
    run()
