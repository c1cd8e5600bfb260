"""What callers, endpoints and operators saw, checked against the promises."""

import bisect
import collections

import attrs

from features.soak import lateness as lateness_lib

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Slack for what a loaded machine adds to each bound, in seconds.
SLACK_S = 1.0
DRAIN_S = 2.0
REVOKE_S = 5.0
GRACE_S = 8.0
EVENTS = 4
# From a third crash until all gateways refuse, with a leader lost meanwhile.
QUARANTINE_S = 7.0
MAX_RETRIES = 3
QUARANTINED = b'"quarantined"'
# What all gateways may retry together in any window.
RETRY_RATIO = 0.2
RETRY_SLACK = 20.0
RETRY_WINDOW_S = 10.0
# Stands for all gateways in a span that keeps them from the replicas.
EVERY_GATEWAY = -1


@attrs.frozen(kw_only=True)
class Run:
    """A request that an endpoint began to work on."""

    request: str
    endpoint: str
    at: float
    sound: bool


@attrs.frozen(kw_only=True)
class Outcome:
    """A request as its caller saw it; status 0 is a broken connection."""

    request: str
    kind: str
    key: str
    gateway: int
    began: float
    ended: float
    deadline_s: float
    status: int
    whole: bool
    body: bytes


@attrs.frozen(kw_only=True)
class Span:
    """A time in which a gateway or the way to it was disturbed."""

    gateway: int
    begin: float
    end: float


@attrs.frozen(kw_only=True)
class Exit:
    """How a process ended that was told to stop.

    Attributes:
        code: Its exit code, None if it runs on.
        took_s: Seconds from the signal to its end.
        age_s: Seconds from its start to the signal.
        disposition: What the signal would do to it when it was sent.
    """

    name: str
    code: int | None
    took_s: float
    age_s: float = 0.0
    disposition: str = ""


@attrs.define
class Book:
    """Everything that was seen in one soak."""

    runs: list[Run] = attrs.Factory(list)
    outcomes: list[Outcome] = attrs.Factory(list)
    versions: list[tuple[int, int, int]] = attrs.Factory(list)
    acknowledged: dict[int, float] = attrs.Factory(dict)
    sources: dict[int, set[bytes]] = attrs.Factory(
        lambda: collections.defaultdict(set)
    )
    revoked: dict[str, float] = attrs.Factory(dict)
    left: dict[str, float] = attrs.Factory(dict)
    disturbed: list[Span] = attrs.Factory(list)
    exits: list[Exit] = attrs.Factory(list)
    read_back: tuple[int, bytes] | None = None
    # What lost replicas were waited for in vain to do.
    unrepaired: list[str] = attrs.Factory(list)
    final_versions: dict[int, int] = attrs.Factory(dict)
    # How late the soak itself was.
    lateness: lateness_lib.Lateness = attrs.Factory(lateness_lib.Lateness)
    # When poison requests began to run, by body.
    poisoned: dict[bytes, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    # When callers sent requests, and when these reached endpoints.
    sent: list[float] = attrs.Factory(list)
    arrivals: list[tuple[str, float]] = attrs.Factory(list)


def check(book: Book) -> list[str]:
    """Return every promise that was broken, in words."""
    runs = collections.defaultdict(list)
    for run in book.runs:
        runs[run.request].append(run)
    faults = []
    for outcome in book.outcomes:
        mine = runs[outcome.request]
        faults += check_counts(outcome, mine)
        faults += check_answer(outcome, mine)
        faults += check_time(outcome, book)
        faults += check_cut(outcome, mine, book)
    faults += check_unasked(book)
    faults += check_revoked(book)
    faults += check_left(book)
    faults += check_versions(book)
    faults += check_exits(book)
    faults += check_poisons(book)
    faults += check_retries(book)
    return faults + book.unrepaired


def check_retries(book: Book) -> list[str]:
    """Check that no window holds more retries than all gateways may send."""
    seen = set()
    again = []
    for request, at in sorted(book.arrivals, key=lambda found: found[1]):
        if request in seen:
            again.append(at)
        seen.add(request)
    sent = sorted(book.sent)
    worst = max(
        (excess_of(begin, again, sent) for begin in again), default=(0.0, "")
    )
    return [worst[1]] if worst[0] > 0 else []


def excess_of(
    begin: float, again: list[float], sent: list[float]
) -> tuple[float, str]:
    """Return by how much the window from `begin` exceeds its retries."""
    end = begin + RETRY_WINDOW_S
    found = count_between(again, begin, end)
    requests = max(
        count_between(sent, begin - back, end - back)
        for back in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
    )
    allowed = RETRY_RATIO * requests + RETRY_SLACK
    words = (
        f"{found} retries in {RETRY_WINDOW_S:g} s from {begin:.2f},"
        f" {requests} requests allow {allowed:.0f}"
    )
    return found - allowed, words


def count_between(times: list[float], begin: float, end: float) -> int:
    """Return how many of some sorted times lie in a span."""
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


def check_poisons(book: Book) -> list[str]:
    """Check that poison requests are quarantined, and no others."""
    faults = []
    for body, times in sorted(book.poisoned.items()):
        third = times[2] if len(times) > 2 else times[-1]
        late = sum(at > third + QUARANTINE_S for at in times)
        if late > MAX_RETRIES:
            faults.append(f"{body} ended {late} more endpoints of {len(times)}")
    for outcome in book.outcomes:
        if QUARANTINED in outcome.body:
            faults.append(f"{outcome.request} is in quarantine")
    return faults


def check_counts(outcome: Outcome, runs: list[Run]) -> list[str]:
    """Check at most one run, and that "not run" is true."""
    if outcome.kind != "unsafe":
        return []
    faults = []
    if len(runs) > 1:
        faults.append(f"{outcome.request} ran {len(runs)} times")
    if outcome.status in NOT_RUN_STATUSES and runs:
        faults.append(f"{outcome.request} got {outcome.status} and has run")
    return faults


def check_answer(outcome: Outcome, runs: list[Run]) -> list[str]:
    """Check that a success is the whole answer to its own request."""
    if not 200 <= outcome.status < 300:
        return []
    if outcome.kind == "stream":
        return check_stream(outcome)
    bodies = {answer_body(outcome.request, r.endpoint) for r in runs}
    if outcome.whole and outcome.body not in bodies:
        return [f"{outcome.request} got {outcome.body!r}"]
    return []


def check_stream(outcome: Outcome) -> list[str]:
    """Check that events are the request's own, in order, without a gap."""
    wanted = [event(outcome.request, n + 1) for n in range(EVENTS)]
    whole = b"".join(wanted)
    if outcome.whole and outcome.body != whole:
        return [f"{outcome.request} ended as whole with {outcome.body!r}"]
    if not whole.startswith(outcome.body):
        return [f"{outcome.request} has events {outcome.body!r}"]
    return []


def check_time(outcome: Outcome, book: Book) -> list[str]:
    """Check that a request ended in time where nothing held its gateway."""
    took_s = outcome.ended - outcome.began
    if took_s <= outcome.deadline_s + SLACK_S:
        return []
    if is_disturbed(outcome, book):
        return []
    return [f"{outcome.request} took {took_s:.1f} s at {outcome.gateway}"]


def check_cut(outcome: Outcome, runs: list[Run], book: Book) -> list[str]:
    """Check that no answer was cut off while its endpoint was sound."""
    broken = outcome.status == 0 or not outcome.whole
    sound = bool(runs) and all(run.sound for run in runs)
    if not broken or not sound or is_disturbed(outcome, book):
        return []
    if outcome.ended - outcome.began >= outcome.deadline_s:
        return []
    late = book.lateness.words(outcome.began, outcome.ended, outcome.request)
    return [
        f"{outcome.request} was cut off at gateway {outcome.gateway} after"
        f" {outcome.ended - outcome.began:.2f} s, begun at"
        f" {outcome.began:.2f}, run by {[run.endpoint for run in runs]}; {late}"
    ]


def is_disturbed(
    outcome: Outcome, book: Book, with_control: bool = False
) -> bool:
    """Return whether the gateway was disturbed while a request ran.

    `with_control` counts what kept it from hearing of the replicas as well.
    """
    return any(
        (
            span.gateway == outcome.gateway
            or (with_control and span.gateway == EVERY_GATEWAY)
        )
        and span.begin <= outcome.ended
        and span.end >= outcome.began - SLACK_S
        for span in book.disturbed
    )


def check_unasked(book: Book) -> list[str]:
    """Check that nothing ran that no caller had sent."""
    asked = {outcome.request for outcome in book.outcomes}
    return [
        f"{run.request} ran at {run.endpoint} and was never sent"
        for run in book.runs
        if run.request not in asked
    ]


def check_revoked(book: Book) -> list[str]:
    """Check that a key that was taken away stops everywhere in time."""
    ran = {run.request for run in book.runs}
    return [
        f"{outcome.request} ran {outcome.began - until:.1f} s after its key"
        f" {outcome.key} was taken away"
        for outcome in book.outcomes
        if (until := book.revoked.get(outcome.key)) is not None
        and outcome.began > until + REVOKE_S
        and outcome.request in ran
    ]


def check_left(book: Book) -> list[str]:
    """Check that no request reaches an endpoint that has left."""
    began = {outcome.request: outcome for outcome in book.outcomes}
    faults = []
    for run in book.runs:
        until = book.left.get(run.endpoint)
        outcome = began.get(run.request)
        if until is None or outcome is None:
            continue
        if is_disturbed(outcome, book, with_control=True):
            continue
        if run.at > until + DRAIN_S + SLACK_S / 2:
            late_s = run.at - until
            faults.append(
                f"{run.request} reached {run.endpoint} {late_s:.1f} s after"
                " its leaving was acknowledged"
            )
    return faults


def check_versions(book: Book) -> list[str]:
    """Check that versions never go back and none acknowledged is lost."""
    faults = []
    newest: dict[tuple[int, int], int] = {}
    for gateway, incarnation, version in book.versions:
        known = newest.get((gateway, incarnation), -1)
        if version < known:
            faults.append(f"gateway {gateway} went from {known} to {version}")
        newest[gateway, incarnation] = max(known, version)
    highest = max(book.acknowledged, default=-1)
    if book.read_back is None:
        faults.append("the configuration could not be read at the end")
    else:
        version, source = book.read_back
        if version < highest:
            faults.append(f"{highest} was acknowledged, {version} is read")
        if source not in book.sources[version]:
            faults.append(f"version {version} reads as {source!r}")
    for gateway, version in book.final_versions.items():
        if version < highest:
            faults.append(f"gateway {gateway} ends with version {version}")
    return faults


def check_exits(book: Book) -> list[str]:
    """Check that a process that is told to stop ends well and in time."""
    return [
        f"{found.name} ended with {found.code} after {found.took_s:.1f} s,"
        f" stopped {found.age_s:.2f} s after its start, {found.disposition}"
        for found in book.exits
        if found.code != 0 or found.took_s > GRACE_S + SLACK_S
    ]


def answer_body(request: str, endpoint: str) -> bytes:
    """Return what an endpoint answers to a request."""
    return f"{request} by {endpoint}".encode()


def event(request: str, number: int) -> bytes:
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()
