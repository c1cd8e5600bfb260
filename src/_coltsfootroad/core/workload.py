"""What every gateway has sent to each endpoint and is not done yet."""

import attrs

from _coltsfootroad.core import loadindex
from _coltsfootroad.core import work as work_lib

# A gateway that has been silent this long is dead or cut off; what it had
# sent has ended with it or will not be heard of again.
GATEWAY_TIMEOUT_S = 2.5
MS = 1000
# Stands for this gateway among the keys of all work.
OWN_GATEWAY = ""


@attrs.frozen
class Change:
    """Work that has begun, changed or ended, as other gateways learn of it.

    Encoded as a list, as field names would be most of the bytes. The age
    is told in place of the time, since clocks differ between VMs. An empty
    endpoint says that the work has ended.
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


@attrs.frozen(kw_only=True)
class Summary:
    """Changes of one gateway's work, or all of it if `full`."""

    gateway: str
    incarnation: int
    seq: int
    full: bool
    changes: tuple[Change, ...] = ()


@attrs.define
class ForeignWork:
    """What is known of another gateway's work.

    Attributes:
        mark: Its start and the number of its newest summary.
        heard_at: When that came.
        works: Its work by its own keys.
        prompts: Keys of those that are prompts.
    """

    mark: tuple[int, int]
    received_at: float
    works: dict[int, work_lib.Work] = attrs.Factory(dict)
    prompts: set[int] = attrs.Factory(set)


@attrs.define
class Workload:
    """Own work and that of the other gateways, and all of it by endpoint.

    Attributes:
        own: Own work by key.
        foreign: That of other gateways by their names.
        index: All of it by endpoint.
        changed: Keys of own work that others do not know as it is now.
        told: Keys of own work that others know of.
        next_key: The key of the next piece of work.
    """

    own: dict[int, work_lib.Work] = attrs.Factory(dict)
    foreign: dict[str, ForeignWork] = attrs.Factory(dict)
    index: loadindex.LoadIndex = attrs.Factory(loadindex.LoadIndex)
    changed: dict[int, None] = attrs.Factory(dict)
    published: set[int] = attrs.Factory(set)
    next_key: int = 1

    def add(self, work: work_lib.Work) -> int:
        """Record work that is about to be sent; return its key."""
        key = self.next_key
        self.next_key += 1
        self.own[key] = work
        self.mark_changed(key)
        return key

    def remove(self, key: int) -> None:
        """Forget work that has ended; nobody hears of what was never told."""
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
        """Note that own work has changed in place."""
        self.changed[key] = None
        self.index.put((OWN_GATEWAY, key), self.own[key])

    def collect_changes(self, full: bool, now: float) -> tuple[Change, ...]:
        """Return what the others do not know yet, or all work."""
        keys = list(self.own if full else self.changed)
        self.changed.clear()
        self.published = set(self.own)
        return tuple(self.make_change(key, now) for key in keys)

    def make_change(self, key: int, now: float) -> Change:
        """Return what others are told of one piece of work."""
        work = self.own.get(key)
        if work is None:
            return Change(key)
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
        )

    def apply_summary(self, summary: Summary, now: float) -> bool:
        """Take another gateway's summary unless a later one is known.

        A lost datagram leaves work unknown or forgotten too late, until the
        next full summary.
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
        for change in summary.changes:
            self.apply_change(summary.gateway, known, change, now)
        return True

    def apply_change(
        self, gateway: str, known: ForeignWork, change: Change, now: float
    ) -> None:
        """Take one change of another gateway's work."""
        key = (gateway, change.key)
        before = known.works.pop(change.key, None)
        known.prompts.discard(change.key)
        if before is not None:
            self.index.drop(key, before)
        if change.endpoint:
            work = known.works[change.key] = to_work(change, now)
            self.index.put(key, work)
        if change.endpoint and change.prompt_tokens:
            known.prompts.add(change.key)

    def count_own_prompts(self) -> int:
        """Return how many prompts this gateway has at engines."""
        return sum(
            work.leads and work.prompt_tokens > 0 for work in self.own.values()
        )

    def gateways_with_prompts(self) -> set[str]:
        """Return the other gateways that have prompts at engines."""
        return {name for name, known in self.foreign.items() if known.prompts}

    def drop_gateway(self, gateway: str) -> None:
        """Forget all work of another gateway."""
        known = self.foreign.pop(gateway, None)
        if known is None:
            return
        for key, work in known.works.items():
            self.index.drop((gateway, key), work)

    def expire(self, now: float) -> None:
        """Forget gateways that have been silent for long."""
        for name, known in list(self.foreign.items()):
            if now - known.received_at > GATEWAY_TIMEOUT_S:
                self.drop_gateway(name)

    def at_endpoint(self, endpoint: str) -> list[work_lib.Work]:
        """Return all work at one endpoint."""
        return list(self.index.at(endpoint).works.values())


def to_work(change: Change, now: float) -> work_lib.Work:
    """Return the work that a change tells of."""
    return work_lib.Work(
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
    )
