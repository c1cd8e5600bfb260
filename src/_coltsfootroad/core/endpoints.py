"""An entry's estimate of each endpoint: backlog, memory and own work."""

import collections
import enum

import attrs

from _coltsfootroad.core import lengths
from _coltsfootroad.core import registry
from _coltsfootroad.core import servicetime

WorkKey = tuple[str, int]

# Tokens of a longer prompt that an engine prefills before it switches to a more
# urgent one. Engines do not state their chunk size; this guess only has to rank
# them.
STALL_TOKENS = 4_096
# Dispatches that are kept for each other entry.
MAX_FOREIGN_WORK = 256
# A dispatch of another entry that no report confirms is dropped after this
# time, as that entry may have died before it sent the request.
FOREIGN_WORK_TTL_S = 4.0


@attrs.frozen(kw_only=True)
class HeldWork:
    """KV cache that an engine reports to hold for a request.

    Attributes:
        owner: Entry that sent the request, with its incarnation.
        kv_tokens: Tokens of KV cache.
        expires_in_s: Seconds until the request's deadline.
    """

    request_id: str
    attempt: int
    owner: str
    kv_tokens: int
    expires_in_s: float


@attrs.frozen(kw_only=True)
class LoadReport:
    """An endpoint's load at a past time.

    Attributes:
        endpoint: Name of the reporting endpoint.
        incarnation: Incarnation of the endpoint.
        seq: Increases with every report of an incarnation.
        measured_at: Earliest possible time of measurement, in seconds of the
            receiving entry's clock.
        prefill_tokens: Pending prompt tokens per engine priority.
        kv_used: Tokens of KV cache in use.
        running: Requests being served.
        marks: Highest dispatch number seen, per entry.
        held: KV cache held for requests of all entries.
    """

    endpoint: str
    incarnation: int
    seq: int
    measured_at: float
    prefill_tokens: tuple[int, ...] = (0,) * lengths.BAND_COUNT
    kv_used: int = 0
    running: int = 0
    marks: dict[str, int] = attrs.Factory(dict)
    held: tuple[HeldWork, ...] = ()


@attrs.frozen
class ForeignWork:
    """A dispatch of another entry that reports may not contain yet."""

    mark: int
    band: int
    prompt_tokens: int
    kv_tokens: int
    noted_at: float


class WorkState(enum.Enum):
    """State of an own work item."""

    ACTIVE = "active"
    RELEASING = "releasing"


@attrs.define
class OwnWork:
    """One part of an attempt that this entry has sent to an endpoint."""

    mark: int
    band: int
    prompt_tokens: int
    kv_tokens: int
    sent_at: float
    tokens_ahead: float
    predicted_s: float
    state: WorkState = WorkState.ACTIVE
    first_token_at: float | None = None
    cancel_at: float = 0.0
    cancels: int = 0


@attrs.define
class EndpointView:
    """One entry's view of one endpoint.

    `backlog` estimates the pending prompt tokens per band: those of the last
    report plus own dispatches that the report does not contain, drained at the
    observed prefill rate since. Dispatch marks tell which dispatches a report
    contains, so that none counts twice.
    """

    announcement: registry.Announcement
    entry: str
    backlog: list[float] = attrs.Factory(lambda: [0.0] * lengths.BAND_COUNT)
    backlog_at: float = 0.0
    work: dict[WorkKey, OwnWork] = attrs.Factory(dict)
    foreign: dict[str, collections.deque] = attrs.Factory(dict)
    last_mark: int = 0
    report_seq: int = -1
    reported_at: float = float("-inf")
    reported_mark: int = 0
    kv_used: int = 0
    kv_unreported: int = 0
    kv_group_held: int = 0
    running: int = 0
    expired: bool = False
    speed: servicetime.ServiceTime = attrs.Factory(servicetime.ServiceTime)

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.announcement.endpoint

    @property
    def accepts(self) -> bool:
        """Return whether the endpoint takes new work."""
        is_serving = self.announcement.state is registry.EndpointState.SERVING
        return is_serving and not self.expired

    @property
    def kv_free(self) -> int:
        """Return the estimated free tokens of the KV cache."""
        used = self.kv_used + self.kv_unreported + self.kv_group_held
        return self.announcement.kv_tokens - used

    @property
    def active_count(self) -> int:
        """Return the number of own requests at the endpoint."""
        return len(self.work)

    def has_active_work(self) -> bool:
        """Return whether own requests are in flight."""
        return any(
            work.state is WorkState.ACTIVE for work in self.work.values()
        )

    def advance(self, now: float) -> None:
        """Drain the backlog up to `now`, the most urgent band first."""
        budget = (now - self.backlog_at) * self.speed.prefill_rate
        self.backlog_at = max(self.backlog_at, now)
        for band in range(lengths.BAND_COUNT):
            if budget <= 0:
                return
            drained = min(self.backlog[band], budget)
            self.backlog[band] -= drained
            budget -= drained

    def tokens_ahead(self, band: int) -> float:
        """Return the prompt tokens to prefill before a new prompt of `band`."""
        tokens = sum(self.backlog[: band + 1])
        if self.has_longer_prompts(band):
            tokens += STALL_TOKENS
        return tokens

    def has_longer_prompts(self, band: int) -> bool:
        """Return whether prompts of a longer band are pending."""
        return any(tokens > 0 for tokens in self.backlog[band + 1 :])

    def is_short_only(self) -> bool:
        """Return whether all pending prompts are short."""
        return not self.has_longer_prompts(0)

    def total_backlog(self) -> float:
        """Return the pending prompt tokens of all bands."""
        return sum(self.backlog)

    def add_foreign(self, owner: str, work: ForeignWork, now: float) -> None:
        """Add a dispatch of another entry to the backlog."""
        self.advance(now)
        queue = self.foreign.setdefault(
            owner, collections.deque(maxlen=MAX_FOREIGN_WORK)
        )
        if queue and work.mark <= queue[-1].mark:
            return
        queue.append(work)
        self.backlog[work.band] += work.prompt_tokens
        self.kv_unreported += work.kv_tokens

    def reconcile_foreign(self, report: LoadReport, now: float) -> None:
        """Drop dispatches that a report contains; add the others to it."""
        for owner, queue in list(self.foreign.items()):
            seen = report.marks.get(owner, 0)
            oldest = now - FOREIGN_WORK_TTL_S
            while queue and (
                queue[0].mark <= seen or queue[0].noted_at < oldest
            ):
                queue.popleft()
            if not queue:
                del self.foreign[owner]
            for work in queue:
                self.add_unreported(work, work.noted_at, now)
                self.kv_unreported += work.kv_tokens

    def add_work(
        self,
        key: WorkKey,
        band: int,
        prompt_tokens: int,
        kv_tokens: int,
        now: float,
    ) -> OwnWork:
        """Record a dispatch and add it to the backlog."""
        self.advance(now)
        tokens_ahead = self.tokens_ahead(band)
        self.last_mark += 1
        predicted_s = self.speed.prefill_s(tokens_ahead + prompt_tokens)
        work = OwnWork(
            mark=self.last_mark,
            band=band,
            prompt_tokens=prompt_tokens,
            kv_tokens=kv_tokens,
            sent_at=now,
            tokens_ahead=tokens_ahead,
            predicted_s=predicted_s,
        )
        self.work[key] = work
        self.backlog[band] += prompt_tokens
        self.kv_unreported += kv_tokens
        return work

    def remove_work(self, key: WorkKey, now: float) -> OwnWork | None:
        """Remove a work item whose memory the engine has freed."""
        work = self.work.pop(key, None)
        if work is None:
            return None
        if work.mark > self.reported_mark:
            self.kv_unreported -= work.kv_tokens
        else:
            self.kv_used = max(0, self.kv_used - work.kv_tokens)
        if work.first_token_at is None:
            self.advance(now)
            remaining = self.backlog[work.band] - work.prompt_tokens
            self.backlog[work.band] = max(0.0, remaining)
        return work

    def on_first_token(self, key: WorkKey, now: float) -> OwnWork | None:
        """Record the first token of an own work item."""
        work = self.work.get(key)
        if work is None or work.first_token_at is not None:
            return None
        work.first_token_at = now
        self.speed.observe_prefill(
            work.prompt_tokens, work.tokens_ahead, now - work.sent_at
        )
        self.advance(now)
        return work

    def on_report(self, report: LoadReport, now: float) -> bool:
        """Apply a load report; return False if it is outdated."""
        if report.incarnation != self.announcement.incarnation:
            return False
        if report.seq <= self.report_seq:
            return False
        self.report_seq = report.seq
        self.reported_at = report.measured_at
        self.reported_mark = max(
            self.reported_mark, report.marks.get(self.entry, 0)
        )
        self.backlog = [float(tokens) for tokens in report.prefill_tokens]
        self.backlog_at = report.measured_at
        self.kv_used = report.kv_used
        self.kv_unreported = 0
        self.running = report.running
        self.advance(now)
        for work in self.work.values():
            if work.mark > self.reported_mark:
                self.kv_unreported += work.kv_tokens
                if work.first_token_at is None:
                    self.add_unreported(work, work.sent_at, now)
        self.reconcile_foreign(report, now)
        return True

    def add_unreported(
        self, work: "OwnWork | ForeignWork", since: float, now: float
    ) -> None:
        """Add the remainder of a dispatch that a report does not contain.

        It drains from the time of the dispatch. Draining it from the time of
        the report removed a fresh dispatch at once, so that short prompts
        collided on engines that looked idle.
        """
        prefilled = (now - since) * self.speed.prefill_rate
        self.backlog[work.band] += max(0.0, work.prompt_tokens - prefilled)
