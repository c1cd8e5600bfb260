"""`colts-ctl`: what operators do, for people and for scripts.

Exit codes: 0 done; 1 refused or failed; 2 wrong usage; 3 the version that
a patch was written against is stale; 4 no replica answered.
"""

import json
import pathlib
import sys
import time
import uuid

from absl import flags
import pycurl
import tornado.httpclient

from _coltsfootroad.commands import common
from _coltsfootroad.shell import settings as settings_lib

EXIT_STALE = 3
EXIT_UNREACHABLE = 4
RETRY_PAUSE_S = 0.3

JSON = flags.DEFINE_bool("json", False, "Write JSON for scripts.")
VERSION_FLAG = flags.DEFINE_integer(
    "base", None, "Version that a patch is written against."
)
PATCH_ID = flags.DEFINE_string(
    "patch_id", None, "Id of a patch, the same again in a resend."
)
REPLACES = flags.DEFINE_string(
    "replaces", "", "Identity of the replica that a new one replaces."
)

USAGE = """usage: colts-ctl --settings=FILE [--json] COMMAND

  config get                 the configuration and its version
  config patch FILE|-        patch it (JSON Merge Patch); --base=VERSION
  config watch VERSION       wait until VERSION is in force at every entry
  status                     leader, replicas, entries, endpoints
  endpoints                  the endpoints known
  members                    the entries known
  replica list               each replica and where it stands
  replica add ADMIN_ADDRESS  add a replica: learn, catch up, then vote;
                             --replaces=IDENTITY swaps out a lost one
  replica remove IDENTITY    take a replica out
  snapshot FILE              write a backup of the whole state
  drain ADMIN_ADDRESS        shut an entry down gracefully
  dump ADMIN_ADDRESS         a process's state"""


class Unreachable(Exception):  # noqa: N818
    """No replica gave an answer."""


class Client:
    """Asks the replicas over HTTP until the leader answers."""

    def __init__(self, settings: settings_lib.CtlSettings):
        self.settings = settings
        self.http = tornado.httpclient.HTTPClient()

    def fetch(self, address: str, path: str, **arguments):
        """Return one response, None when there was none."""
        headers = arguments.pop("headers", {})
        headers["Authorization"] = f"Bearer {self.settings.admin_token}"
        try:
            return self.http.fetch(
                f"http://{address}{path}",
                headers=headers,
                raise_error=False,
                request_timeout=self.settings.timeout_s,
                connect_timeout=min(2.0, self.settings.timeout_s),
                **arguments,
            )
        except (OSError, pycurl.error, tornado.httpclient.HTTPError):
            return None

    def ask(self, path: str, **arguments):
        """Return the leader's response.

        Asking again is safe: reads change nothing, patches carry an id, and
        changes of replicas say what the set is to be.
        """
        end = time.monotonic() + self.settings.timeout_s
        while time.monotonic() < end:
            for address in self.settings.control:
                response = self.fetch(address, path, **dict(arguments))
                if response is not None and not is_elsewhere(response):
                    return response
            time.sleep(RETRY_PAUSE_S)
        raise Unreachable("no replica that leads answered in time")

    def try_once(self, path: str, **arguments):
        """Return the first answer of a leader, None if none leads."""
        for address in self.settings.control:
            response = self.fetch(address, path, **dict(arguments))
            if response is not None and not is_elsewhere(response):
                return response
        return None


def is_elsewhere(response) -> bool:
    """Return whether a response says to ask another replica or again."""
    return response.code in (503, 599)


def show(value: object, text: str) -> None:
    """Write a result as JSON or as text."""
    print(json.dumps(value) if JSON.value else text)


def refused(response) -> int:
    """Show a refusal; return its exit code."""
    try:
        error = json.loads(response.body)["error"]
    except (ValueError, KeyError, TypeError):
        error = {"code": "failed", "message": f"status {response.code}"}
    if JSON.value:
        print(json.dumps({"error": error}))
    common.complain(f"{error['code']}: {error['message']}")
    stale = error["code"] == "stale_version"
    return EXIT_STALE if stale else common.EXIT_FAILED


def config_get(client: Client) -> int:
    """Show the configuration."""
    response = client.ask("/v1/config")
    if response.code != 200:
        return refused(response)
    document = json.loads(response.body)
    text = json.dumps(document["config"], indent=2)
    show(document, f"version {document['version']}\n{text}")
    return common.EXIT_OK


def config_patch(client: Client, source: str) -> int:
    """Patch the configuration."""
    if VERSION_FLAG.value is None:
        common.complain("config patch needs --base=VERSION")
        return common.EXIT_USAGE
    try:
        body = read_source(source)
    except OSError as error:
        common.complain(f"patch {source}: {error.strerror}")
        return common.EXIT_USAGE
    patch_id = PATCH_ID.value or uuid.uuid4().hex
    response = client.ask(
        "/v1/config",
        method="PATCH",
        body=body,
        headers={
            "If-Match": str(VERSION_FLAG.value),
            "X-Patch-Id": patch_id,
        },
    )
    if response.code != 200:
        return refused(response)
    document = json.loads(response.body) | {"patch_id": patch_id}
    show(document, f"version {document['version']} accepted")
    return common.EXIT_OK


def read_source(source: str) -> bytes:
    """Return a file's bytes, or standard input's."""
    if source == "-":
        return sys.stdin.buffer.read()
    return pathlib.Path(source).read_bytes()


def config_watch(client: Client, text: str) -> int:
    """Wait until a version is in force at every live entry."""
    if not text.isdigit():
        common.complain(f"config watch needs a version number, not {text!r}")
        return common.EXIT_USAGE
    end = time.monotonic() + client.settings.timeout_s
    behind = []
    while time.monotonic() < end:
        entries = read_status(client).get("entries", [])
        behind = [
            e["entry"] for e in entries if e["config_version"] < int(text)
        ]
        if not behind:
            show(
                {"in_force": True, "entries": len(entries)},
                f"version {text} in force at {len(entries)} entries",
            )
            return common.EXIT_OK
        time.sleep(RETRY_PAUSE_S)
    show({"in_force": False, "behind": behind}, f"behind: {behind}")
    return common.EXIT_FAILED


def read_status(client: Client) -> dict:
    """Return the leader's status, empty when refused."""
    response = client.ask("/v1/status")
    return json.loads(response.body) if response.code == 200 else {}


def status(client: Client) -> int:
    """Show the whole status."""
    response = client.ask("/v1/status")
    if response.code != 200:
        return refused(response)
    document = json.loads(response.body)
    lines = [
        f"leader {document['leader']}, term {document['term']},"
        f" version {document['version']}",
        *replica_lines(document),
        *member_lines(document),
        *endpoint_lines(document),
    ]
    show(document, "\n".join(lines))
    return common.EXIT_OK


def replica_lines(document: dict) -> list[str]:
    """Return a line per replica."""
    return [
        f"replica {r['identity']} at {r['address']}:"
        f" {'voter' if r['voter'] else 'learner'}, {r['state']},"
        f" {r['behind']} entries behind"
        for r in document["replicas"]
    ]


def member_lines(document: dict) -> list[str]:
    """Return a line per entry."""
    return [
        f"entry {e['entry']} at {e['address']}"
        f" in {e['availability_zone'] or '-'}: version"
        f" {e['config_version']}, {e['load']} in flight"
        f"{', leaving' if e['leaving'] else ''}"
        for e in document["entries"]
    ]


def endpoint_lines(document: dict) -> list[str]:
    """Return a line per endpoint."""
    return [
        f"endpoint {e['endpoint']} at {e['address']}: {e['service']},"
        f" {e['state']}"
        for e in document["endpoints"]
    ]


def listing(client: Client, key: str, lines) -> int:
    """Show one part of the status."""
    response = client.ask("/v1/status")
    if response.code != 200:
        return refused(response)
    document = json.loads(response.body)
    show(document[key], "\n".join(lines(document)) or "none")
    return common.EXIT_OK


def replica_change(client: Client, document: dict) -> int:
    """Ask for one change of the set of replicas; return an exit code."""
    response = client.ask(
        "/v1/replica", method="POST", body=json.dumps(document)
    )
    return common.EXIT_OK if response.code == 200 else refused(response)


def replica_add(client: Client, address: str) -> int:
    """Add a replica: as a learner first, as a voter once it caught up."""
    response = client.fetch(address, "/v1/replica")
    if response is None or response.code != 200:
        common.complain(f"replica at {address} does not answer")
        return EXIT_UNREACHABLE
    replica = json.loads(response.body)["replica"]
    code = replica_change(client, {"action": "learn", "replica": replica})
    if code != common.EXIT_OK:
        return code
    document = {
        "action": "promote",
        "replica": replica,
        "replaces": REPLACES.value,
    }
    end = time.monotonic() + client.settings.timeout_s
    while time.monotonic() < end:
        response = client.try_once(
            "/v1/replica", method="POST", body=json.dumps(document)
        )
        if response is not None and response.code == 200:
            identity = f"{replica['name']}#{replica['disk']}"
            show({"voter": identity}, f"replica {identity} votes")
            return common.EXIT_OK
        time.sleep(RETRY_PAUSE_S)
    common.complain("the replica learns but has not caught up; run it again")
    return common.EXIT_FAILED


def replica_remove(client: Client, identity: str) -> int:
    """Take a replica out of the set."""
    known = {r["identity"]: r for r in read_status(client)["replicas"]}
    if identity not in known:
        common.complain(f"replica {identity!r} is not known: {list(known)}")
        return common.EXIT_FAILED
    name, _, disk = identity.partition("#")
    replica = {
        "name": name,
        "disk": disk,
        "address": known[identity]["address"],
    }
    code = replica_change(client, {"action": "remove", "replica": replica})
    if code == common.EXIT_OK:
        show({"removed": identity}, f"replica {identity} removed")
    return code


def snapshot(client: Client, path: str) -> int:
    """Write a backup."""
    response = client.ask("/v1/snapshot")
    if response.code != 200:
        return refused(response)
    pathlib.Path(path).write_bytes(response.body)
    show({"bytes": len(response.body)}, f"{len(response.body)} bytes written")
    return common.EXIT_OK


def dump(client: Client, address: str) -> int:
    """Show a process's state."""
    response = client.fetch(address, "/admin/dump")
    if response is None:
        raise Unreachable(f"{address} does not answer")
    if response.code != 200:
        return refused(response)
    print(response.body.decode())
    return common.EXIT_OK


def drain(client: Client, address: str) -> int:
    """Shut an entry down gracefully."""
    response = client.fetch(address, "/admin/drain", method="POST", body=b"")
    if response is None:
        raise Unreachable(f"{address} does not answer")
    if response.code != 200:
        return refused(response)
    document = json.loads(response.body)
    seconds = document["accepts_for_s"]
    show(document, f"{address} leaves; it accepts for {seconds} s more")
    return common.EXIT_OK


def carry_out(client: Client, words: list[str]) -> int:
    """Run one command."""
    match words:
        case ["config", *rest]:
            return config(client, rest)
        case ["status"]:
            return status(client)
        case ["endpoints"]:
            return listing(client, "endpoints", endpoint_lines)
        case ["members"]:
            return listing(client, "entries", member_lines)
        case ["replica", *rest]:
            return replica(client, rest)
        case ["snapshot", path]:
            return snapshot(client, path)
        case ["dump", address]:
            return dump(client, address)
        case ["drain", address]:
            return drain(client, address)
    common.complain(f"unknown command {' '.join(words)!r}\n{USAGE}")
    return common.EXIT_USAGE


def config(client: Client, words: list[str]) -> int:
    """Run one command on the configuration."""
    match words:
        case ["get"]:
            return config_get(client)
        case ["patch", source]:
            return config_patch(client, source)
        case ["watch", text]:
            return config_watch(client, text)
    common.complain(f"unknown config command\n{USAGE}")
    return common.EXIT_USAGE


def replica(client: Client, words: list[str]) -> int:
    """Run one command on replicas."""
    match words:
        case ["list"]:
            return listing(client, "replicas", replica_lines)
        case ["add", address]:
            return replica_add(client, address)
        case ["remove", identity]:
            return replica_remove(client, identity)
    common.complain(f"unknown replica command\n{USAGE}")
    return common.EXIT_USAGE


def main(arguments: list[str]) -> int:
    """Run the program."""
    if not arguments[1:]:
        common.complain(USAGE)
        return common.EXIT_USAGE
    settings = common.read_settings(settings_lib.CtlSettings)
    try:
        return carry_out(Client(settings), arguments[1:])
    except Unreachable as error:
        common.complain(str(error))
        return EXIT_UNREACHABLE


def run() -> None:
    """Run the program."""
    common.start(main, USAGE)


if __name__ == "__main__":
    run()
