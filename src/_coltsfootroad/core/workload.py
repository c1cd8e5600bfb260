"""What every gateway has sent to each endpoint and is not done yet."""

import attrs

# A gateway that has been silent this long is dead or cut off; what it had
# sent has ended with it or will not be heard of again.
BELIEF_S = 2.5
MS = 1000


@attrs.define
class Work:
    """One request, or one part of a prompt, at one endpoint.

    Attributes:
        endpoint: Where it is.
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Tokens that it may write at most.
        kv_tokens: Tokens of the endpoint's memory that it fills at most.
        parts: Engines among which the prompt is read.
        leads: Whether this endpoint writes the answer.
        sent_at: When it was sent, seconds of the local clock.
        writing: Whether its first event has come.
        gap_target_s: Longest pause that is still on time, 0 once one was
            longer or if pauses do not matter.
        value: What its caller loses by a late answer, relative.
        late: Whether it was late already when it was sent; an engine then
            serves it after those that can be on time.
    """

    endpoint: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    kv_tokens: int = 0
    parts: int = 1
    leads: bool = True
    sent_at: float = 0.0
    writing: bool = False
    gap_target_s: float = 0.0
    value: float = 1.0
    late: bool = False


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
    """What is known of another gateway's work."""

    mark: tuple[int, int]
    heard_at: float
    works: dict[int, Work]


@attrs.define
class Workload:
    """Own work and that of the other gateways, by endpoint."""

    own: dict[int, Work] = attrs.Factory(dict)
    foreign: dict[str, ForeignWork] = attrs.Factory(dict)
    changed: dict[int, None] = attrs.Factory(dict)
    next_key: int = 1

    def add(self, work: Work) -> int:
        """Record work that is about to be sent; return its key."""
        key = self.next_key
        self.next_key += 1
        self.own[key] = work
        self.changed[key] = None
        return key

    def remove(self, key: int) -> None:
        """Forget work that has ended."""
        if self.own.pop(key, None) is not None:
            self.changed[key] = None

    def touch(self, key: int) -> None:
        """Note that own work has changed in place."""
        self.changed[key] = None

    def take_changes(self, full: bool, now: float) -> tuple[Change, ...]:
        """Return what the others do not know yet, or all work."""
        keys = list(self.own if full else self.changed)
        self.changed.clear()
        return tuple(self.change(key, now) for key in keys)

    def change(self, key: int, now: float) -> Change:
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

    def take(self, summary: Summary, now: float) -> bool:
        """Take another gateway's summary unless a later one is known.

        A lost datagram leaves work unknown or forgotten too late, until the
        next full summary.
        """
        mark = (summary.incarnation, summary.seq)
        known = self.foreign.get(summary.gateway)
        if known is not None and known.mark >= mark:
            return False
        restarted = known is None or known.mark[0] != mark[0]
        works = {} if restarted or summary.full else known.works
        for change in summary.changes:
            if change.endpoint:
                works[change.key] = work_of(change, now)
            else:
                works.pop(change.key, None)
        self.foreign[summary.gateway] = ForeignWork(mark, now, works)
        return True

    def expire(self, now: float) -> None:
        """Forget gateways that have been silent for long."""
        for name, known in list(self.foreign.items()):
            if now - known.heard_at > BELIEF_S:
                del self.foreign[name]

    def at_endpoint(self, endpoint: str) -> list[Work]:
        """Return all work at one endpoint."""
        found = list(self.own.values())
        for known in self.foreign.values():
            found.extend(known.works.values())
        return [work for work in found if work.endpoint == endpoint]

    def by_endpoint(self) -> dict[str, list[Work]]:
        """Return all work by endpoint."""
        found: dict[str, list[Work]] = {}
        for work in self.own.values():
            found.setdefault(work.endpoint, []).append(work)
        for known in self.foreign.values():
            for work in known.works.values():
                found.setdefault(work.endpoint, []).append(work)
        return found


def work_of(change: Change, now: float) -> Work:
    """Return the work that a change tells of."""
    return Work(
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
