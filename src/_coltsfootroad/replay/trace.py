"""Recorded traces: requests, faults and expected outcomes as JSON lines."""

import json
import pathlib

import attrs
from expression import Error
from expression import Ok
from expression import Result

from _coltsfootroad.core import documents
from _coltsfootroad.core import servicekind


@attrs.frozen(kw_only=True)
class EngineLine:
    """A group of identical endpoints in the fleet of a trace."""

    count: int = 1
    service: str = "assistant"
    prefill_rate: float = 20_000.0
    token_s: float = 0.03
    chunk_tokens: int = 8_192
    kv_tokens: int = 400_000
    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE


@attrs.frozen(kw_only=True)
class FleetLine:
    """The fleet on which a trace was recorded."""

    name: str
    entries: int = 9
    engines: tuple[EngineLine, ...] = (EngineLine(),)
    one_way_s: float = 0.001
    client_one_way_s: float = 0.001
    report_every_s: float = 1.0
    config: dict = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class RequestLine:
    """One request.

    Attributes:
        at: Seconds since the start of the trace.
        id: Name of the request in expected outcomes.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer, which is also the requested one.
        deadline_s: Seconds until the deadline.
        key: Idempotency key; a second request with the same key is a resend.
        entry: Entry to send to, any if empty.
        shared_prefix: Name of a prefix that requests share.
        prefix_blocks: Blocks of the shared prefix.
    """

    at: float
    id: str
    workspace: str = "shop"
    service: str = "assistant"
    prompt_tokens: int = 1_000
    output_tokens: int = 64
    deadline_s: float = 600.0
    non_idempotent: bool = False
    key: str = ""
    entry: str = ""
    shared_prefix: str = ""
    prefix_blocks: int = 0


@attrs.frozen(kw_only=True)
class FaultLine:
    """A fault or an operation at a given time.

    `fault` is a key of `player.FAULTS`; the fault ends after `for_s` seconds if
    that is not 0.
    """

    at: float
    fault: str
    target: str = ""
    for_s: float = 0.0
    value: float = 1.0
    patch: dict = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class OutcomeLine:
    """An expected outcome: bounds of a measure, or the end of a request.

    It holds under the given `policies`, under all if empty.
    """

    measure: str = ""
    request: str = ""
    end: str = ""
    ran: str = ""
    at_least: float | None = None
    at_most: float | None = None
    policies: tuple[str, ...] = ()


LINE_KINDS = {
    "fleet": FleetLine,
    "request": RequestLine,
    "fault": FaultLine,
    "outcome": OutcomeLine,
}


@attrs.define
class Trace:
    """A complete trace."""

    fleet: FleetLine
    requests: list[RequestLine] = attrs.Factory(list)
    faults: list[FaultLine] = attrs.Factory(list)
    outcomes: list[OutcomeLine] = attrs.Factory(list)

    def without_longer_than(self, tokens: int) -> "Trace":
        """Return the trace without requests longer than `tokens`."""
        short = [r for r in self.requests if r.prompt_tokens <= tokens]
        return Trace(self.fleet, short, list(self.faults), [])


def read(path: str) -> Result[Trace, str]:
    """Return a trace, or an error that names the invalid line."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(f"trace {path}: cannot be read: {error}")
    lines = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        parsed = read_line(line)
        if parsed.is_error():
            return Error(f"trace {path}, line {number}: {parsed.error}")
        lines.append(parsed.ok)
    return assemble(path, lines)


def read_line(line: str) -> Result[object, str]:
    """Parse one line of a trace."""
    try:
        document = json.loads(line)
    except ValueError as error:
        return Error(f"is not JSON: {error}")
    if not isinstance(document, dict):
        return Error("is not a JSON object")
    kind = document.pop("kind", None)
    if kind not in LINE_KINDS:
        names = ", ".join(LINE_KINDS)
        return Error(f"kind is {kind!r}, must be one of {names}")
    try:
        return Ok(documents.CONVERTER.structure(document, LINE_KINDS[kind]))
    except Exception as error:  # noqa: BLE001
        # cattrs raises exception groups with the errors of all hooks.
        return Error(documents.describe_errors(error, "$"))


def assemble(path: str, lines: list[object]) -> Result[Trace, str]:
    """Return the trace that consists of the given lines."""
    fleets = [line for line in lines if isinstance(line, FleetLine)]
    if len(fleets) != 1:
        return Error(f"trace {path}: has {len(fleets)} fleet lines, needs 1")
    trace = Trace(fleets[0])
    for line in lines:
        match line:
            case RequestLine():
                trace.requests.append(line)
            case FaultLine():
                trace.faults.append(line)
            case OutcomeLine():
                trace.outcomes.append(line)
    ids = [request.id for request in trace.requests]
    if len(set(ids)) != len(ids):
        duplicate = next(i for i in ids if ids.count(i) > 1)
        return Error(f"trace {path}: request id {duplicate!r} occurs twice")
    return Ok(trace)


def write(path: pathlib.Path, trace: Trace) -> None:
    """Write a trace as JSON lines."""
    kinds = {kind: name for name, kind in LINE_KINDS.items()}
    lines = [trace.fleet, *trace.requests, *trace.faults, *trace.outcomes]
    with open(path, "w", encoding="utf-8") as file:
        for line in lines:
            document = documents.CONVERTER.unstructure(line)
            defaults = {f.name: f.default for f in attrs.fields(type(line))}
            non_default = {
                name: value
                for name, value in document.items()
                if defaults[name] != value
            }
            file.write(
                json.dumps({"kind": kinds[type(line)]} | non_default) + "\n"
            )
