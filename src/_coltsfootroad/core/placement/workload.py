"""Tracks unfinished work of all gateways at each endpoint."""

import abc
from collections.abc import Callable

import attrs

from _coltsfootroad.core.placement import loadindex
from _coltsfootroad.core.placement import work as work_lib

# A gateway without a summary for this long has crashed or is partitioned. Its
# work has ended with it or cannot be tracked any longer.
GATEWAY_TIMEOUT_S = 2.5
MS = 1000
TENTHS = 10
# Slowdown of an engine that is as fast as its specification.
SOUND = 1.0
# Older readings of an engine's slowdown are not sent with full summaries: a
# stream whose engine has stopped would report its last one forever.
SLOWDOWN_VALID_S = 0.6
# Stands for this gateway's name in the keys of the load index.
OWN_GATEWAY = ""


@attrs.frozen
class Change:
    """A change of one work item, as it is sent to other gateways.

    Encoded as a list, since field names would be most of the bytes. The age
    replaces the start time, since clocks differ between VMs. An empty endpoint
    means that the work has ended.

    `slowdown_tenths` is the engine's slowdown by this stream, 0 if unknown. The
    end of a plain call states how long it took in `took_ms`, or the endpoint
    that failed it in `failed_at`.
    """

    key: int
    endpoint: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    kv_tokens: int = 0
    parts: int = 1
    leads: bool = True
    age_ms: int = 0
    writing: bool = False
    gap_target_ms: int = 0
    value: float = 1.0
    late: bool = False
    slowdown_tenths: int = 0
    took_ms: int = 0
    failed_at: str = ""
    workspace: int = 0
    queued: bool = False


class ResultObserver(abc.ABC):
    """Learns from the results that other gateways report with their work."""

    @abc.abstractmethod
    def on_slowdown(
        self, key: loadindex.WorkKey, work: work_lib.WorkItem, now: float
    ) -> None:
        """Receive an engine's slowdown as a stream observed it."""

    @abc.abstractmethod
    def on_call_time(
        self, work: work_lib.WorkItem, seconds: float, now: float
    ) -> None:
        """Receive the time that a plain call took."""

    @abc.abstractmethod
    def on_call_failure(self, endpoint: str, now: float) -> None:
        """Receive the failure of a plain call."""


@attrs.frozen
class CallResult:
    """The result of an own plain call that has ended."""

    took_ms: int = 0
    failed_at: str = ""


@attrs.frozen(kw_only=True)
class Summary:
    """Changes of one gateway's work, or all its work if `full`.

    `partitioned_from` names the services that the gateway does not reach.
    `refusals` holds hashes of refused requests, with the milliseconds until
    they may be retried and until their deadlines.
    """

    gateway: str
    incarnation: int
    seq: int
    full: bool
    changes: tuple[Change, ...] = ()
    partitioned_from: tuple[str, ...] = ()
    refusals: tuple[tuple[int, int, int], ...] = ()


@attrs.define
class ForeignWork:
    """Known work of another gateway.

    Attributes:
        mark: Incarnation and sequence number of its newest summary.
        received_at: Arrival time of that summary.
        works: Work items by the keys that the gateway gave them.
        prompts: Keys of the work items that are prompts.
        partitioned_from: Services that the gateway does not reach.
    """

    mark: tuple[int, int]
    received_at: float
    works: dict[int, work_lib.WorkItem] = attrs.Factory(dict)
    prompts: set[int] = attrs.Factory(set)
    partitioned_from: tuple[str, ...] = ()


@attrs.define
class Workload:
    """Work of this gateway and of the others, and all work by endpoint.

    Attributes:
        own: Work of this gateway by key.
        foreign: Work of other gateways by gateway name.
        index: All work by endpoint.
        changed: Keys of own work with unpublished changes, in the order of the
            changes.
        published: Keys of own work that was published to other gateways.
        next_key: Key of the next work item.
        on_foreign_work: Called with gateway, incarnation, key, work and time of
            each work item that another gateway reports, also repeatedly.
        results: Unpublished results of own calls that have ended.
        observer: Receives the results that other gateways report.
    """

    own: dict[int, work_lib.WorkItem] = attrs.Factory(dict)
    foreign: dict[str, ForeignWork] = attrs.Factory(dict)
    index: loadindex.LoadIndex = attrs.Factory(loadindex.LoadIndex)
    changed: dict[int, None] = attrs.Factory(dict)
    published: set[int] = attrs.Factory(set)
    next_key: int = 1
    on_foreign_work: Callable[
        [str, int, int, work_lib.WorkItem, float], None
    ] = attrs.field(default=lambda *_: None, eq=False)
    results: dict[int, CallResult] = attrs.Factory(dict)
    observer: ResultObserver | None = None

    def add(self, work: work_lib.WorkItem) -> int:
        """Add own work that is about to be sent; return its key."""
        key = self.next_key
        self.next_key += 1
        self.own[key] = work
        self.mark_changed(key)
        return key

    def remove(self, key: int) -> None:
        """Remove own work that has ended.

        The end is published only if the work was published before.
        """
        work = self.own.pop(key, None)
        if work is None:
            return
        self.index.drop((OWN_GATEWAY, key), work)
        if key in self.published:
            self.published.remove(key)
            self.changed[key] = None
        else:
            self.changed.pop(key, None)

    def mark_changed(self, key: int) -> None:
        """Mark own work as changed in place."""
        self.changed[key] = None
        self.index.put((OWN_GATEWAY, key), self.own[key])

    def add_result(self, key: int, result: CallResult) -> None:
        """Publish the result of an own call that has just ended.

        The time of a call is published only if its end is, a failure always.
        """
        if key in self.changed or result.failed_at:
            self.changed[key] = None
            self.results[key] = result

    def set_slowdown(self, key: int, slowdown: float, now: float) -> bool:
        """Record an engine's slowdown by an own stream; return if it is news.

        That a sound engine is sound is sent with full summaries only. The
        slowdown does not affect the engine's work, so the index keeps its
        version.
        """
        work = self.own.get(key)
        if work is None:
            return False
        before, work.slowdown = work.slowdown, slowdown
        work.slowdown_read_at = now
        if before == slowdown or max(before, slowdown) <= SOUND:
            return False
        self.changed[key] = None
        return True

    def collect_changes(self, full: bool, now: float) -> tuple[Change, ...]:
        """Return the unpublished changes, or all own work if `full`."""
        keys = [*self.own, *self.results] if full else list(self.changed)
        changes = tuple(self.make_change(key, now) for key in keys)
        self.changed.clear()
        self.results.clear()
        self.published = set(self.own)
        return changes

    def make_change(self, key: int, now: float) -> Change:
        """Return the change that publishes one work item."""
        work = self.own.get(key)
        if work is None:
            result = self.results.get(key, CallResult())
            return Change(
                key, took_ms=result.took_ms, failed_at=result.failed_at
            )
        is_recent = now - work.slowdown_read_at <= SLOWDOWN_VALID_S
        return Change(
            key,
            work.endpoint,
            work.prompt_tokens,
            work.output_tokens,
            work.kv_tokens,
            work.parts,
            work.leads,
            int((now - work.sent_at) * MS),
            work.writing,
            int(work.gap_target_s * MS),
            round(work.value, 1),
            work.late,
            round(work.slowdown * TENTHS) if is_recent else 0,
            workspace=work.workspace,
            queued=work.queued,
        )

    def apply_summary(self, summary: Summary, now: float) -> bool:
        """Apply another gateway's summary unless a later one was applied.

        Returns whether it was applied. After a lost datagram, work is missing
        or outdated until the next full summary.
        """
        mark = (summary.incarnation, summary.seq)
        known = self.foreign.get(summary.gateway)
        if known is not None and known.mark >= mark:
            return False
        restarted = known is None or known.mark[0] != mark[0]
        if restarted or summary.full:
            self.drop_gateway(summary.gateway)
            known = self.foreign[summary.gateway] = ForeignWork(mark, now)
        known.mark = mark
        known.received_at = now
        known.partitioned_from = summary.partitioned_from
        for change in summary.changes:
            self.apply_change(summary.gateway, known, change, now)
        return True

    def apply_change(
        self, gateway: str, known: ForeignWork, change: Change, now: float
    ) -> None:
        """Apply one change of another gateway's work."""
        key = (gateway, change.key)
        before = known.works.pop(change.key, None)
        known.prompts.discard(change.key)
        if before is not None:
            self.index.drop(key, before)
        if change.endpoint:
            work = known.works[change.key] = to_work(change, now)
            self.index.put(key, work)
            self.on_foreign_work(gateway, known.mark[0], change.key, work, now)
        if change.endpoint and change.prompt_tokens:
            known.prompts.add(change.key)
        if self.observer is not None:
            self.report_result(key, before, change, now)

    def report_result(
        self,
        key: loadindex.WorkKey,
        before: work_lib.WorkItem | None,
        change: Change,
        now: float,
    ) -> None:
        """Pass on the result in another gateway's change, if it has one."""
        if change.failed_at:
            self.observer.on_call_failure(change.failed_at, now)
        elif change.took_ms and before is not None:
            self.observer.on_call_time(before, change.took_ms / MS, now)
        elif change.slowdown_tenths and change.endpoint:
            work = to_work(change, now)
            work.slowdown = change.slowdown_tenths / TENTHS
            self.observer.on_slowdown(key, work, now)

    def count_own_prompts(self) -> int:
        """Return the number of prompts that this gateway has at engines."""
        return sum(
            work.leads and work.prompt_tokens > 0 for work in self.own.values()
        )

    def is_partitioned(self, gateway: str, service: str, now: float) -> bool:
        """Return whether another gateway does not reach a service."""
        self.expire(now)
        known = self.foreign.get(gateway)
        return known is not None and service in known.partitioned_from

    def gateways_with_prompts(self) -> set[str]:
        """Return the names of other gateways that have prompts at engines."""
        return {name for name, known in self.foreign.items() if known.prompts}

    def drop_gateway(self, gateway: str) -> None:
        """Remove all work of another gateway."""
        known = self.foreign.pop(gateway, None)
        if known is None:
            return
        for key, work in known.works.items():
            self.index.drop((gateway, key), work)

    def expire(self, now: float) -> None:
        """Remove gateways whose last summary is older than the timeout."""
        for name, known in list(self.foreign.items()):
            if now - known.received_at > GATEWAY_TIMEOUT_S:
                self.drop_gateway(name)

    def at_endpoint(self, endpoint: str) -> list[work_lib.WorkItem]:
        """Return all work at one endpoint."""
        return list(self.index.at(endpoint).works.values())


def to_work(change: Change, now: float) -> work_lib.WorkItem:
    """Return the work item that a change describes."""
    return work_lib.WorkItem(
        endpoint=change.endpoint,
        prompt_tokens=change.prompt_tokens,
        output_tokens=change.output_tokens,
        kv_tokens=change.kv_tokens,
        parts=change.parts,
        leads=change.leads,
        sent_at=now - change.age_ms / MS,
        writing=change.writing,
        gap_target_s=change.gap_target_ms / MS,
        value=change.value,
        late=change.late,
        workspace=change.workspace,
        queued=change.queued,
    )
