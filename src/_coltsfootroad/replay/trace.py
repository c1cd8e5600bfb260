"""Recorded traces: what arrives, what fails, what must come out."""

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
    """A kind of engines in the fleet of a trace.

    `true_speed` scales what the routing layer expects to what it gets.
    """

    count: int = 1
    service: str = "assistant"
    prefill_rate: float = 20_000.0
    token_s: float = 0.03
    chunk_tokens: int = 8_192
    kv_tokens: int = 400_000
    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE


@attrs.frozen(kw_only=True)
class FleetLine:
    """The fleet that a trace was recorded on."""

    name: str
    entries: int = 9
    engines: tuple[EngineLine, ...] = (EngineLine(),)
    one_way_s: float = 0.001
    client_one_way_s: float = 0.001
    report_every_s: float = 1.0
    config: dict = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class RequestLine:
    """One arrival.

    Attributes:
        at: Seconds since the start of the trace.
        id: Name of the request in outcomes.
        prompt_tokens: Length of the prompt.
        output_tokens: Tokens that the answer has and that are asked for.
        deadline_s: Bound in seconds.
        key: Idempotency key; the same key again is a resend.
        entry: Entry to use, any if empty.
        shared_prefix: Name and blocks of a prefix shared with others.
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
    """Something that goes wrong, or is done, at a time.

    `fault` is one of `World.FAULTS`; `for_s` undoes it after a while.
    """

    at: float
    fault: str
    target: str = ""
    for_s: float = 0.0
    value: float = 1.0
    patch: dict = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class OutcomeLine:
    """A stated outcome: a measure and its bounds, or one request's end.

    `policies` limits it to some policies; all if empty.
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
    """A whole trace."""

    fleet: FleetLine
    requests: list[RequestLine] = attrs.Factory(list)
    faults: list[FaultLine] = attrs.Factory(list)
    outcomes: list[OutcomeLine] = attrs.Factory(list)

    def without_longer_than(self, tokens: int) -> "Trace":
        """Return the trace with only its short requests."""
        short = [r for r in self.requests if r.prompt_tokens <= tokens]
        return Trace(self.fleet, short, list(self.faults), [])


def read(path: str) -> Result[Trace, str]:
    """Return a trace, or which line is wrong and why."""
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
    """Return one line of a trace."""
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
        # cattrs raises groups of whatever the hooks raise.
        return Error(documents.explain(error, "$"))


def assemble(path: str, lines: list[object]) -> Result[Trace, str]:
    """Return the lines of a trace sorted by kind."""
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
