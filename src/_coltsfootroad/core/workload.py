"""What every gateway has sent to each endpoint and is not done yet."""

import attrs

# A gateway that has been silent this long is dead or cut off; what it had
# sent has ended with it or will not be heard of again.
SUMMARY_BELIEF_S = 2.5


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


@attrs.frozen(kw_only=True)
class WorkSummary:
    """All work of one gateway; each summary replaces the one before.

    `ages` holds the seconds since each piece of work was sent, as clocks
    differ between VMs.
    """

    gateway: str
    incarnation: int
    seq: int
    works: tuple[Work, ...] = ()
    ages: tuple[float, ...] = ()
    faulty: tuple[str, ...] = ()


@attrs.define
class ForeignWork:
    """The newest summary of another gateway."""

    mark: tuple[int, int]
    heard_at: float
    works: tuple[Work, ...]


@attrs.define
class Workload:
    """Own work and that of the other gateways, by endpoint."""

    own: dict[int, Work] = attrs.Factory(dict)
    foreign: dict[str, ForeignWork] = attrs.Factory(dict)
    next_key: int = 1
    version: int = 0

    def add(self, work: Work) -> int:
        """Record work that is about to be sent; return its key."""
        key = self.next_key
        self.next_key += 1
        self.own[key] = work
        self.version += 1
        return key

    def remove(self, key: int) -> None:
        """Forget work that has ended."""
        if self.own.pop(key, None) is not None:
            self.version += 1

    def touch(self) -> None:
        """Note that own work has changed in place."""
        self.version += 1

    def take(self, summary: WorkSummary, now: float) -> bool:
        """Take a summary unless a later one is known."""
        known = self.foreign.get(summary.gateway)
        mark = (summary.incarnation, summary.seq)
        if known is not None and known.mark >= mark:
            return False
        for work, age_s in zip(summary.works, summary.ages, strict=False):
            work.sent_at = now - age_s
        self.foreign[summary.gateway] = ForeignWork(mark, now, summary.works)
        return True

    def expire(self, now: float) -> None:
        """Forget gateways that have been silent for long."""
        for name, known in list(self.foreign.items()):
            if now - known.heard_at > SUMMARY_BELIEF_S:
                del self.foreign[name]

    def by_endpoint(self) -> dict[str, list[Work]]:
        """Return all work by endpoint."""
        found: dict[str, list[Work]] = {}
        for work in self.own.values():
            found.setdefault(work.endpoint, []).append(work)
        for known in self.foreign.values():
            for work in known.works:
                found.setdefault(work.endpoint, []).append(work)
        return found

    def summary(
        self, gateway: str, incarnation: int, seq: int, now: float
    ) -> WorkSummary:
        """Return what the other gateways are told."""
        works = tuple(self.own.values())
        return WorkSummary(
            gateway=gateway,
            incarnation=incarnation,
            seq=seq,
            works=works,
            ages=tuple(round(now - work.sent_at, 4) for work in works),
        )
