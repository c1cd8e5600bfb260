"""What an entry believes of each endpoint: backlog, memory, own work."""

import collections
import enum

import attrs

from _coltsfootroad.core import lengths
from _coltsfootroad.core import registry
from _coltsfootroad.core import servicetime

WorkKey = tuple[str, int]

# Tokens of a longer prompt that an engine finishes before it turns to a
# more urgent one; the engines' chunk size is not stated, this is a guess
# that only has to rank engines.
STALL_TOKENS = 4_096
# Dispatches of others that are remembered per entry, and how long one is
# believed that no report confirms: its entry may have died before sending.
MAX_FOREIGN_WORK = 256
FOREIGN_WORK_TTL_S = 4.0


@attrs.frozen(kw_only=True)
class HeldWork:
    """Memory that an engine says it holds for a request.

    `owner` is the entry and its incarnation that sent the request;
    `expires_in_s` the time left until the request's deadline.
    """

    request_id: str
    attempt: int
    owner: str
    kv_tokens: int
    expires_in_s: float


@attrs.frozen(kw_only=True)
class LoadReport:
    """An endpoint's load, some time ago.

    Attributes:
        endpoint: Who reports.
        incarnation: Of the endpoint.
        seq: Grows with every report of an incarnation.
        measured_at: Seconds on the receiving entry's clock, at the earliest.
        prefill_tokens: Waiting prompt tokens per engine priority.
        kv_used: Tokens of KV cache in use.
        running: Requests being served.
        marks: Last dispatch number seen, per entry.
        held: Memory held for requests, of whichever entry.
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
    """A dispatch of another entry that no report may contain yet."""

    mark: int
    band: int
    prompt_tokens: int
    kv_tokens: int
    noted_at: float


class WorkState(enum.Enum):
    """Where a piece of own work stands."""

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
    ahead: float
    predicted_s: float
    state: WorkState = WorkState.ACTIVE
    first_token_at: float | None = None
    cancel_at: float = 0.0
    cancels: int = 0


@attrs.define
class EndpointView:
    """One entry's view of one endpoint.

    `backlog` estimates the waiting prompt tokens per band: the last report,
    plus own dispatches that the report does not contain yet (settled by
    dispatch marks, so that nothing counts twice), drained at the learned
    rate since.
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
        serving = self.announcement.state is registry.EndpointState.SERVING
        return serving and not self.expired

    @property
    def kv_free(self) -> int:
        """Return the tokens of KV cache that are believed free."""
        used = self.kv_used + self.kv_unreported + self.kv_group_held
        return self.announcement.kv_tokens - used

    @property
    def active_count(self) -> int:
        """Return the number of own requests that the endpoint serves."""
        return len(self.work)

    def has_active_work(self) -> bool:
        """Return whether own requests are still being served."""
        return any(
            work.state is WorkState.ACTIVE for work in self.work.values()
        )

    def advance(self, now: float) -> None:
        """Drain the backlog, most urgent band first, up to `now`."""
        budget = (now - self.backlog_at) * self.speed.prefill_rate
        self.backlog_at = max(self.backlog_at, now)
        for band in range(lengths.BAND_COUNT):
            if budget <= 0:
                return
            drained = min(self.backlog[band], budget)
            self.backlog[band] -= drained
            budget -= drained

    def ahead(self, band: int) -> float:
        """Return the prompt tokens served before a new one of `band`."""
        tokens = sum(self.backlog[: band + 1])
        if self.has_longer_prompts(band):
            tokens += STALL_TOKENS
        return tokens

    def has_longer_prompts(self, band: int) -> bool:
        """Return whether prompts of a longer band are being read."""
        return any(tokens > 0 for tokens in self.backlog[band + 1 :])

    def is_short_only(self) -> bool:
        """Return whether nothing but short prompts is being read."""
        return not self.has_longer_prompts(0)

    def total_backlog(self) -> float:
        """Return the waiting prompt tokens of all bands."""
        return sum(self.backlog)

    def add_foreign(self, owner: str, work: ForeignWork, now: float) -> None:
        """Count a dispatch of another entry into the backlog."""
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
        """Drop what a report contains; add the rest to its backlog."""
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
        """Record a dispatch and count it into the backlog."""
        self.advance(now)
        ahead = self.ahead(band)
        self.last_mark += 1
        predicted_s = self.speed.prefill_s(ahead + prompt_tokens)
        work = OwnWork(
            mark=self.last_mark,
            band=band,
            prompt_tokens=prompt_tokens,
            kv_tokens=kv_tokens,
            sent_at=now,
            ahead=ahead,
            predicted_s=predicted_s,
        )
        self.work[key] = work
        self.backlog[band] += prompt_tokens
        self.kv_unreported += kv_tokens
        return work

    def remove_work(self, key: WorkKey, now: float) -> OwnWork | None:
        """Forget a piece of work whose memory the engine has freed."""
        work = self.work.pop(key, None)
        if work is None:
            return None
        if work.mark > self.reported_mark:
            self.kv_unreported -= work.kv_tokens
        else:
            self.kv_used = max(0, self.kv_used - work.kv_tokens)
        if work.first_token_at is None:
            self.advance(now)
            left = self.backlog[work.band] - work.prompt_tokens
            self.backlog[work.band] = max(0.0, left)
        return work

    def on_first_token(self, key: WorkKey, now: float) -> OwnWork | None:
        """Learn from the first token of a piece of own work."""
        work = self.work.get(key)
        if work is None or work.first_token_at is not None:
            return None
        work.first_token_at = now
        self.speed.observe_prefill(
            work.prompt_tokens, work.ahead, now - work.sent_at
        )
        self.advance(now)
        return work

    def on_report(self, report: LoadReport, now: float) -> bool:
        """Take a load report; return False for an old one."""
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
        """Add what is left of a dispatch that a report does not contain.

        It is drained from its own beginning. Drained from the report's time
        like the rest, a dispatch of this moment vanished at once, and short
        prompts met each other at engines that looked idle.
        """
        read = (now - since) * self.speed.prefill_rate
        self.backlog[work.band] += max(0.0, work.prompt_tokens - read)
