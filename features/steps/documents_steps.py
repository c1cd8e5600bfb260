"""Steps for configurations that are sent to control processes."""

import json

from behave import then

from features.steps import platform_steps
from features.steps import platformevacuation_steps
from features.support import processstate

PATH = "/v1/configuration"
DEPTH = 100_000
# Between versions of 20 digits, which differ by more than the rows change them.
VERSION_STEP = 1_000
FIRST_VERSION = 7


def call(address: str, method: str, body: bytes = b"") -> tuple[int, str]:
    """Return status and body of a call on the configuration."""
    return platformevacuation_steps.call_path(address, method, PATH, body)


def document_with(path: str, value: int, version: int) -> dict:
    """Return a configuration in which one integer has a value."""
    document = platform_steps.sample()
    document["version"] = version
    platform_steps.change(document, path, value)
    return document


@then("each process acknowledges and returns configurations with these values")
def acknowledged_and_returned(context):
    version = FIRST_VERSION
    for row in context.table:
        for address in context.api:
            version += VERSION_STEP
            value = int(row["value"])
            if row["path"] == "version":
                value = version = max(value, version)
            document = document_with(row["path"], value, version)
            status, body = call(address, "PUT", json.dumps(document).encode())
            assert status == 200, (row, address, status, body)
            status, body = call(address, "GET")
            assert status == 200, (row, address, status, body)
            assert json.loads(body) == document, (row, address, body)
            context.newest = document


@then("no control process has ended")
def none_has_ended(context):
    ended = [p.name for p in context.programs if not p.is_running]
    assert not ended, ended


@then("the newest configuration is returned after all processes were killed")
def returned_after_restart(context):
    for program in context.programs:
        program.kill()
    for program in context.programs:
        program.start()
    for address in context.api:
        processstate.wait_until(
            lambda address=address: call(address, "GET")[0] == 200,
            f"the process at {address} returns no configuration",
        )
        _, body = call(address, "GET")
        assert json.loads(body) == context.newest, (address, body)


def unreadable(kind: str) -> bytes:
    """Return a document that cannot be read in full."""
    text = json.dumps(platform_steps.sample())
    digits = "7" * 5_000
    documents = {
        "nested 100000 deep": text.replace(
            '"version": 7', '"version": 7, "more": ' + "[" * DEPTH + "]" * DEPTH
        ).encode(),
        "with a version of 5000 digits": text.replace(
            '"version": 7', f'"version": {digits}'
        ).encode(),
        "with half of a surrogate pair": text.replace(
            '"name": "r1"', '"name": "\\ud800 r1"'
        ).encode(),
        "of bytes that are no text": text.replace("r1", "\xff").encode(
            "latin-1"
        ),
    }
    assert documents[kind] != text.encode(), kind
    return documents[kind]


@then("each process refuses these documents with 400 and the words {words}")
def documents_refused(context, words):
    for row in context.table:
        for address in context.api:
            status, body = call(address, "PUT", unreadable(row["document"]))
            assert status == 400, (row, address, status, body)
            assert words in body, (row, address, body)
