"""Checks what callers, endpoints and operators observed in a soak.

Each check compares the observations with a guarantee of the system.
"""

import bisect
import collections

import attrs

from features.soak import lateness as lateness_lib

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Tolerance of each time bound, for delays on a loaded machine.
TIME_TOLERANCE_S = 1.0
DRAIN_PERIOD_S = 2.0
MAX_REVOCATION_S = 5.0
MAX_SHUTDOWN_S = 8.0
STREAM_EVENTS = 4
# From the third crash until all gateways refuse the request, including the
# loss of a leader.
MAX_QUARANTINE_DELAY_S = 7.0
# Later runs that the retries of one request may still cause.
MAX_LATE_POISON_RUNS = 3
# Endpoints that a poison request, or a part of prompts, may crash before that.
POISON_RUNS_BEFORE = 3
PART_RUNS_BEFORE = 5
QUARANTINED_CODE = b'"quarantined"'
# Retry budget of all gateways together in any window.
RETRY_RATIO = 0.2
RETRY_SLACK = 20.0
RETRY_WINDOW_S = 10.0
# From a cut off from all endpoints on, a gateway has this long to find another
# way; then it may fail these many first tries, or serve this part as often.
CONTACT_S = 3.0
FAILED_CUT_OFF = 10
FAILED_CUT_OFF_SHARE = 1 / 50
MIN_CUT_OFF_RATIO = 2 / 3
# From the acknowledgement of an order on, requests may reach the evacuated zone
# for this long.
MAX_EVACUATION_S = 5.0
# Gateway of a disturbance that keeps all gateways from reaching the replicas.
ALL_GATEWAYS = -1


@attrs.frozen(kw_only=True)
class Run:
    """A request that an endpoint began to run."""

    request: str
    endpoint: str
    at: float
    undisturbed: bool


@attrs.frozen(kw_only=True)
class Offer:
    """A request that an endpoint got, with the seconds until its deadline."""

    request: str
    left_s: float


@attrs.frozen(kw_only=True)
class Response:
    """A complete response that an endpoint has written."""

    request: str
    at: float


@attrs.frozen(kw_only=True)
class Outcome:
    """A request as its caller saw it; status 0 is a failed connection."""

    request: str
    kind: str
    key: str
    gateway: int
    started_at: float
    ended_at: float
    deadline_s: float
    status: int
    complete: bool
    body: bytes


@attrs.frozen(kw_only=True)
class Disturbance:
    """A time span in which a fault affected a gateway."""

    gateway: int
    begin: float
    end: float


@attrs.frozen(kw_only=True)
class Evacuation:
    """The time from an acknowledged order to the call that withdrew it."""

    zone: str
    begin: float
    end: float


@attrs.frozen(kw_only=True)
class Exit:
    """How a process exited after SIGTERM.

    Attributes:
        code: Exit code, None if the process still runs.
        took_s: Seconds from the signal to the exit.
        age_s: Seconds from the start of the process to the signal.
        disposition: Disposition of the signal in the process when it was sent.
    """

    name: str
    code: int | None
    took_s: float
    age_s: float = 0.0
    disposition: str = ""


@attrs.define
class Observations:
    """Everything that was observed in one soak."""

    runs: list[Run] = attrs.Factory(list)
    outcomes: list[Outcome] = attrs.Factory(list)
    versions_seen: list[tuple[int, int, int]] = attrs.Factory(list)
    acknowledged_at: dict[int, float] = attrs.Factory(dict)
    sources_by_version: dict[int, set[bytes]] = attrs.Factory(
        lambda: collections.defaultdict(set)
    )
    revoked_at: dict[str, float] = attrs.Factory(dict)
    left_at: dict[str, float] = attrs.Factory(dict)
    disturbances: list[Disturbance] = attrs.Factory(list)
    # Times in which a gateway was cut off from all endpoints.
    cuts: list[Disturbance] = attrs.Factory(list)
    # Times from the stop of a gateway to its restart.
    absences: list[Disturbance] = attrs.Factory(list)
    exits: list[Exit] = attrs.Factory(list)
    read_back: tuple[int, bytes] | None = None
    # Repairs of lost replicas that did not complete in time.
    repair_failures: list[str] = attrs.Factory(list)
    final_versions: dict[int, int] = attrs.Factory(dict)
    # Delays of the soak's own process.
    lateness: lateness_lib.DelayLog = attrs.Factory(lateness_lib.DelayLog)
    # Times at which requests with a poison part began to run, by part.
    part_runs: dict[str, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    # Times at which poison requests began to run, by body.
    poison_runs: dict[bytes, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    # Times at which callers sent requests and at which endpoints got them.
    sent: list[float] = attrs.Factory(list)
    arrivals: list[tuple[str, float]] = attrs.Factory(list)
    # Times at which endpoints of a zone got requests.
    zone_arrivals: dict[str, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    evacuations: list[Evacuation] = attrs.Factory(list)
    offers: list[Offer] = attrs.Factory(list)
    responses: list[Response] = attrs.Factory(list)
    # Times in which an endpoint is known to have been free.
    free: list[tuple[float, float]] = attrs.Factory(list)


def check(observed: Observations) -> list[str]:
    """Return a message for each violated guarantee."""
    runs = collections.defaultdict(list)
    for run in observed.runs:
        runs[run.request].append(run)
    violations = []
    for outcome in observed.outcomes:
        request_runs = runs[outcome.request]
        violations += check_run_count(outcome, request_runs)
        violations += check_response_body(outcome, request_runs)
        violations += check_deadline(outcome, observed)
        violations += check_truncation(outcome, request_runs, observed)
    violations += check_unsent(observed)
    violations += check_revoked_keys(observed)
    violations += check_departed_endpoints(observed)
    violations += check_versions(observed)
    violations += check_exits(observed)
    violations += check_quarantine(observed)
    violations += check_retry_budget(observed)
    violations += check_cuts(observed)
    violations += check_evacuations(observed)
    return violations + observed.repair_failures


def check_retry_budget(observed: Observations) -> list[str]:
    """Check that retries stay within the fleet's budget in every window."""
    seen = set()
    retries = []
    for request, at in sorted(
        observed.arrivals, key=lambda arrival: arrival[1]
    ):
        if request in seen:
            retries.append(at)
        seen.add(request)
    sent = sorted(observed.sent)
    worst = max(
        (retry_excess(begin, retries, sent) for begin in retries),
        default=(0.0, ""),
    )
    return [worst[1]] if worst[0] > 0 else []


def check_evacuations(observed: Observations) -> list[str]:
    """Check that evacuated zones get no requests."""
    violations = []
    for evacuation in observed.evacuations:
        late = [
            at - evacuation.begin
            for at in observed.zone_arrivals[evacuation.zone]
            if evacuation.begin + MAX_EVACUATION_S < at < evacuation.end
        ]
        if late:
            violations.append(
                f"evacuated zone {evacuation.zone} got {len(late)} requests,"
                f" the last {max(late):.2f} s after the acknowledgement"
            )
    return violations


def check_cuts(observed: Observations) -> list[str]:
    """Check that cut-off gateways serve two thirds as often as the others.

    Each request of a caller is a first try. Requests count from CONTACT_S after
    the cut on, if nothing else disturbs their gateway or the replicas, and if
    another gateway can serve them.
    """
    cut_off, others = [], []
    gateways = {outcome.gateway for outcome in observed.outcomes}
    for outcome in observed.outcomes:
        active = [
            cut
            for cut in observed.cuts
            if cut.begin <= outcome.ended_at and cut.end >= outcome.started_at
        ]
        if not active or is_disturbed(outcome, observed, True):
            continue
        own = [cut for cut in active if cut.gateway == outcome.gateway]
        if not own:
            others.append(outcome)
        elif outcome.started_at >= own[0].begin + CONTACT_S and any(
            can_serve(gateway, outcome, observed) for gateway in gateways
        ):
            cut_off.append(outcome)
    if not cut_off or not others:
        return []
    failed = sum(not is_served(outcome) for outcome in cut_off)
    share = 1 - failed / len(cut_off)
    expected = sum(map(is_served, others)) / len(others)
    total = len(cut_off) + len(others)
    allowed = FAILED_CUT_OFF + FAILED_CUT_OFF_SHARE * total
    if share >= MIN_CUT_OFF_RATIO * expected or failed <= allowed:
        return []
    return [
        f"gateways cut off from endpoints served {len(cut_off) - failed} of"
        f" {len(cut_off)} requests, others {expected:.2f} of {len(others)}"
    ]


def can_serve(gateway: int, outcome: Outcome, observed: Observations) -> bool:
    """Return whether a gateway runs and reaches endpoints during a request.

    After the end of a cut or of an absence, it has CONTACT_S to return.
    """
    spans = [*observed.cuts, *observed.absences, *observed.disturbances]
    return not any(
        span.gateway == gateway
        and span.begin <= outcome.ended_at
        and span.end + CONTACT_S >= outcome.started_at
        for span in spans
    )


def is_served(outcome: Outcome) -> bool:
    """Return whether a request got a complete success."""
    return 200 <= outcome.status < 300 and outcome.complete


def retry_excess(
    begin: float, retries: list[float], sent: list[float]
) -> tuple[float, str]:
    """Return by how much a window exceeds its budget, and a message."""
    end = begin + RETRY_WINDOW_S
    found = count_between(retries, begin, end)
    requests = max(
        count_between(sent, begin - back, end - back)
        for back in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
    )
    allowed = RETRY_RATIO * requests + RETRY_SLACK
    message = (
        f"{found} retries in {RETRY_WINDOW_S:g} s from {begin:.2f},"
        f" {requests} requests allow {allowed:.0f}"
    )
    return found - allowed, message


def count_between(times: list[float], begin: float, end: float) -> int:
    """Return how many of the sorted times are in [begin, end)."""
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


def check_quarantine(observed: Observations) -> list[str]:
    """Check that poison requests, and no others, are quarantined."""
    violations = [
        *late_runs(observed.poison_runs, POISON_RUNS_BEFORE),
        *late_runs(observed.part_runs, PART_RUNS_BEFORE),
    ]
    for outcome in observed.outcomes:
        if QUARANTINED_CODE in outcome.body:
            violations.append(f"{outcome.request} is in quarantine")
    return violations


def late_runs(runs: dict, before: int) -> list[str]:
    """Return the poisons that ran too often after `before` crashes."""
    violations = []
    for poison, times in sorted(runs.items()):
        known_at = times[min(before, len(times)) - 1] + MAX_QUARANTINE_DELAY_S
        late = sum(at > known_at for at in times)
        if late > MAX_LATE_POISON_RUNS:
            violations.append(
                f"{poison} crashed {late} more endpoints of {len(times)}"
            )
    return violations


def check_run_count(outcome: Outcome, runs: list[Run]) -> list[str]:
    """Check that an unsafe request ran at most once, and "not run" is true."""
    if outcome.kind != "unsafe":
        return []
    violations = []
    if len(runs) > 1:
        violations.append(f"{outcome.request} ran {len(runs)} times")
    if outcome.status in NOT_RUN_STATUSES and runs:
        violations.append(f"{outcome.request} got {outcome.status} and has run")
    return violations


def check_response_body(outcome: Outcome, runs: list[Run]) -> list[str]:
    """Check that a success has the complete response to its own request."""
    if not 200 <= outcome.status < 300:
        return []
    if outcome.kind == "stream":
        return check_stream(outcome)
    bodies = {response_body(outcome.request, r.endpoint) for r in runs}
    if outcome.complete and outcome.body not in bodies:
        return [f"{outcome.request} got {outcome.body!r}"]
    return []


def check_stream(outcome: Outcome) -> list[str]:
    """Check that the stream has the request's events in order without gaps."""
    wanted = [
        stream_event(outcome.request, n + 1) for n in range(STREAM_EVENTS)
    ]
    expected = b"".join(wanted)
    if outcome.complete and outcome.body != expected:
        return [f"{outcome.request} ended as complete with {outcome.body!r}"]
    if not expected.startswith(outcome.body):
        return [f"{outcome.request} has events {outcome.body!r}"]
    return []


def check_deadline(outcome: Outcome, observed: Observations) -> list[str]:
    """Check the deadline of requests at undisturbed gateways."""
    took_s = outcome.ended_at - outcome.started_at
    if took_s <= outcome.deadline_s + TIME_TOLERANCE_S:
        return []
    if is_disturbed(outcome, observed):
        return []
    return [
        f"{outcome.request} took {took_s:.1f} s at gateway {outcome.gateway}"
    ]


def check_truncation(
    outcome: Outcome, runs: list[Run], observed: Observations
) -> list[str]:
    """Check that no response of an undisturbed endpoint was truncated."""
    failed = outcome.status == 0 or not outcome.complete
    undisturbed = bool(runs) and all(run.undisturbed for run in runs)
    if not failed or not undisturbed or is_disturbed(outcome, observed):
        return []
    if outcome.ended_at - outcome.started_at >= outcome.deadline_s:
        return []
    delays = observed.lateness.describe(
        outcome.started_at, outcome.ended_at, outcome.request
    )
    return [
        f"{outcome.request} was truncated at gateway {outcome.gateway} after"
        f" {outcome.ended_at - outcome.started_at:.2f} s, sent at"
        f" {outcome.started_at:.2f}, run by"
        f" {[run.endpoint for run in runs]}; {delays}"
    ]


def is_disturbed(
    outcome: Outcome,
    observed: Observations,
    include_control_plane: bool = False,
) -> bool:
    """Return whether the gateway was disturbed while a request ran.

    `include_control_plane` counts disturbances of the replicas too.
    """
    return any(
        (
            span.gateway == outcome.gateway
            or (include_control_plane and span.gateway == ALL_GATEWAYS)
        )
        and span.begin <= outcome.ended_at
        and span.end >= outcome.started_at - TIME_TOLERANCE_S
        for span in observed.disturbances
    )


def check_unsent(observed: Observations) -> list[str]:
    """Check that no request ran that no caller had sent."""
    sent_requests = {outcome.request for outcome in observed.outcomes}
    return [
        f"{run.request} ran at {run.endpoint} and was never sent"
        for run in observed.runs
        if run.request not in sent_requests
    ]


def check_revoked_keys(observed: Observations) -> list[str]:
    """Check that a revoked key is refused at all gateways in time."""
    ran = {run.request for run in observed.runs}
    return [
        f"{outcome.request} ran {outcome.started_at - revoked_at:.1f} s after its"
        f" key {outcome.key} was revoked"
        for outcome in observed.outcomes
        if (revoked_at := observed.revoked_at.get(outcome.key)) is not None
        and outcome.started_at > revoked_at + MAX_REVOCATION_S
        and outcome.request in ran
    ]


def check_departed_endpoints(observed: Observations) -> list[str]:
    """Check that no request reaches an endpoint that has left."""
    outcomes = {outcome.request: outcome for outcome in observed.outcomes}
    violations = []
    for run in observed.runs:
        left_at = observed.left_at.get(run.endpoint)
        outcome = outcomes.get(run.request)
        if left_at is None or outcome is None:
            continue
        if is_disturbed(outcome, observed, include_control_plane=True):
            continue
        if run.at > left_at + DRAIN_PERIOD_S + TIME_TOLERANCE_S / 2:
            late_s = run.at - left_at
            violations.append(
                f"{run.request} reached {run.endpoint} {late_s:.1f} s after"
                " its leaving was acknowledged"
            )
    return violations


def check_versions(observed: Observations) -> list[str]:
    """Check that versions never go back and acknowledged ones are kept."""
    violations = []
    newest: dict[tuple[int, int], int] = {}
    for gateway, incarnation, version in observed.versions_seen:
        known = newest.get((gateway, incarnation), -1)
        if version < known:
            violations.append(
                f"gateway {gateway} went from {known} to {version}"
            )
        newest[gateway, incarnation] = max(known, version)
    highest = max(observed.acknowledged_at, default=-1)
    if observed.read_back is None:
        violations.append("the configuration could not be read after the soak")
    else:
        version, source = observed.read_back
        if version < highest:
            violations.append(f"{highest} was acknowledged, {version} is read")
        if source not in observed.sources_by_version[version]:
            violations.append(f"version {version} reads as {source!r}")
    for gateway, version in observed.final_versions.items():
        if version < highest:
            violations.append(
                f"gateway {gateway} has version {version} at the end"
            )
    return violations


def check_exits(observed: Observations) -> list[str]:
    """Check that each process exits with 0 in time after SIGTERM."""
    return [
        f"{found.name} exited with {found.code} after {found.took_s:.1f} s,"
        f" stopped {found.age_s:.2f} s after its start, {found.disposition}"
        for found in observed.exits
        if found.code != 0 or found.took_s > MAX_SHUTDOWN_S + TIME_TOLERANCE_S
    ]


def response_body(request: str, endpoint: str) -> bytes:
    """Return an endpoint's response body for a request."""
    return f"{request} by {endpoint}".encode()


def stream_event(request: str, number: int) -> bytes:
    """Return one event of the response to a stream request."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()
