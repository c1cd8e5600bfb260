"""A fleet of gateways that retry as much as their budgets allow.

Virtual time; `check` applies the fleet's bound to what was sent.
"""

import bisect
import random

import attrs

from _coltsfootroad.control import retrylending
from _coltsfootroad.core import addresses
from _coltsfootroad.core import members
from _coltsfootroad.core import minimumshare
from _coltsfootroad.core import retryloans
from _coltsfootroad.core import rotation as rotation_lib
from _coltsfootroad.core import windowbudget

RATIO = 0.2
SLACK = 106
WINDOW_S = 10.0
# Age of its proof past which a gateway sends nothing.
STALENESS_S = 4.5
# After this time the others see that a gateway is lost.
LOST_AFTER_S = 1.6
STEP_S = 0.05


@attrs.define
class Fleet:
    """What all gateways sent for one service, and when.

    Attributes:
        requests: When callers sent requests, in order.
        again: When endpoints were reached beyond a request's first time.
        lender: The leader's part, None while nobody leads.
        lost_answers: Share of the leader's answers that are lost.
    """

    rng: random.Random
    slack: float = SLACK
    lender: retrylending.RetryLender | None = None
    lost_answers: float = 0.0
    now: float = 100.0
    requests: list[float] = attrs.Factory(list)
    again: list[float] = attrs.Factory(list)

    def check(self) -> None:
        """Raise AssertionError if any window holds too many retries."""
        self.again.sort()
        for first, begin in enumerate(self.again):
            end = begin + WINDOW_S
            found = bisect.bisect_left(self.again, end) - first
            counted = max(
                self.requests_between(begin - back, end - back)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            allowed = RATIO * counted + self.slack
            assert found <= allowed, (
                f"{found} retries in the {WINDOW_S:g} s from {begin:.2f} s,"
                f" {counted} requests allow {allowed:.0f}"
            )

    def requests_between(self, begin: float, end: float) -> int:
        """Return the requests of a span of time."""
        before = bisect.bisect_left(self.requests, begin)
        return bisect.bisect_left(self.requests, end) - before

    def most_again(self) -> int:
        """Return the most retries of any window."""
        self.again.sort()
        return max(
            (
                bisect.bisect_left(self.again, begin + WINDOW_S) - first
                for first, begin in enumerate(self.again)
            ),
            default=0,
        )


@attrs.define
class Gateway:
    """A gateway's budget and its view of the members.

    Attributes:
        seen_at: When it last heard from control.
        until: No gateway process runs before this time.
        reserved: Retries that are held for sends.
    """

    name: str
    fleet: Fleet
    budget: windowbudget.WindowBudget = attrs.field(init=False)
    rotation: rotation_lib.Rotation = attrs.field(init=False)
    slack_share: minimumshare.MinimumShare = attrs.field(init=False)
    seen_at: float = attrs.field(init=False)
    until: float = 0.0
    reserved: list[windowbudget.RetryReservation] = attrs.Factory(list)

    def __attrs_post_init__(self):
        self.start()

    def start(self) -> None:
        """Begin another incarnation, which knows nothing."""
        self.budget = windowbudget.WindowBudget(
            RATIO, self.fleet.slack, WINDOW_S
        )
        self.rotation = rotation_lib.Rotation(members.MemberView())
        self.slack_share = minimumshare.MinimumShare(
            WINDOW_S + STALENESS_S + windowbudget.ARRIVAL_LAG_S, STALENESS_S
        )
        self.seen_at = float("-inf")
        self.reserved.clear()

    def learn(self, names: list[str]) -> None:
        """Learn from control which gateways live."""
        view = self.rotation.members
        lost = tuple(name for name in view.known if name not in names)
        found = tuple(
            addresses.Member(entry=name, incarnation=1, address=name)
            for name in names
            if name not in view.known
        )
        view.learn(found, lost, False)
        share = self.rotation.limit_share(self.name)
        now = self.fleet.now
        self.slack_share.update(share, now, now)
        self.seen_at = now

    @property
    def sends(self) -> bool:
        """Return whether it runs and its proof is young enough."""
        now = self.fleet.now
        return now >= self.until and now - self.seen_at < STALENESS_S

    def serve(self) -> None:
        """Take a fresh request."""
        self.fleet.requests.append(self.fleet.now)
        self.budget.on_request(self.fleet.now)

    def retry(self, most: int = 10_000) -> int:
        """Send as many retries as the budget holds; return how many."""
        count = 0
        while count < most and self.sends and self.reserve():
            count += self.send_reserved()
        return count

    def reserve(self) -> bool:
        """Hold a retry for a send; return whether the budget had one."""
        now = self.fleet.now
        share = self.slack_share.minimum(now)
        retry = self.budget.reserve(share, now)
        if retry is None and self.borrow():
            retry = self.budget.reserve(share, now)
        if retry is not None:
            self.reserved.append(retry)
        return retry is not None

    def borrow(self) -> int:
        """Ask the leader for retries; return how many it lends."""
        fleet = self.fleet
        if fleet.lender is None:
            return 0
        answer = fleet.lender.lend(
            retrylending.BorrowRetries(
                gateway=self.name,
                service="s",
                wanted=fleet.rng.choice((1, 4, 32)),
                slack=fleet.slack,
                window_s=WINDOW_S,
            ),
            fleet.now,
        )
        if fleet.rng.random() < fleet.lost_answers:
            return 0
        until = fleet.now + retryloans.LOAN_LIFETIME_S
        self.budget.loans.add(answer.amount, until)
        return answer.amount

    def send_reserved(self) -> bool:
        """Send the newest retry that is held; return whether it was sent."""
        now = self.fleet.now
        retry = self.reserved.pop()
        is_sent = self.budget.charge(retry, self.slack_share.minimum(now), now)
        self.fleet.again += [now] * is_sent
        return is_sent


@attrs.define
class World:
    """Gateways that live, die and lose sight of each other.

    Attributes:
        lost_at: When a gateway that does not run was lost.
        cut: Gateways that cannot reach control.
        serving: Gateways that callers use.
    """

    count: int
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    slack: float = SLACK
    fleet: Fleet = attrs.field(init=False)
    gateways: dict[str, Gateway] = attrs.field(init=False)
    lost_at: dict[str, float] = attrs.Factory(dict)
    cut: dict[str, float] = attrs.Factory(dict)
    serving: set[str] = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.fleet = Fleet(self.rng, self.slack)
        self.lead()
        self.gateways = {
            f"g{number}": Gateway(f"g{number}", self.fleet)
            for number in range(self.count)
        }
        self.serving = set(self.gateways)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.fleet.now

    def seen_alive(self) -> list[str]:
        """Return the gateways that control counts as alive."""
        return [
            name
            for name, gateway in self.gateways.items()
            if self.now - self.lost_at.get(name, self.now) < LOST_AFTER_S
        ]

    def run(self, seconds: float, retry_rate: float, rate: float = 0.0) -> None:
        """Let time pass; rates are of each gateway and second."""
        end = self.now + seconds
        while self.now < end - STEP_S / 2:
            self.fleet.now += STEP_S
            self.step(retry_rate, rate)

    def step(self, retry_rate: float, rate: float) -> None:
        """Let gateways hear from control, take requests and retry."""
        for name in [n for n, until in self.cut.items() if self.now >= until]:
            del self.cut[name]
            self.lost_at.pop(name, None)
        for name, gateway in self.gateways.items():
            if name not in self.cut and self.now >= gateway.until:
                self.lost_at.pop(name, None)
        alive = self.seen_alive()
        for name, gateway in self.gateways.items():
            if name not in self.cut and self.now >= gateway.until:
                gateway.learn(alive)
            if not gateway.sends or name not in self.serving:
                continue
            if self.rng.random() < rate * STEP_S:
                gateway.serve()
            if self.rng.random() < retry_rate * STEP_S:
                gateway.retry(self.rng.choice((1, 3, 10_000)))

    def lead(self) -> None:
        """Let another leader begin, which knows nothing of loans."""
        self.fleet.lender = retrylending.RetryLender(self.now)

    def never_seen(self, names: list[str]) -> None:
        """Let control know nothing of some gateways until they run."""
        for name in names:
            self.lost_at[name] = float("-inf")

    def kill(self, names: list[str], down_s: float) -> None:
        """End gateways; each starts again after `down_s`."""
        for name in names:
            self.gateways[name].start()
            self.gateways[name].until = self.now + down_s
            self.lost_at[name] = self.now

    def reserve_all(self) -> None:
        """Let all gateways hold every retry of their budgets for sends."""
        for gateway in self.gateways.values():
            while gateway.reserve():
                pass

    def send_reserved(self) -> None:
        """Let all gateways that may send retries do so."""
        for gateway in self.gateways.values():
            while gateway.reserved and gateway.sends:
                gateway.send_reserved()

    def cut_off(self, names: list[str], for_s: float) -> None:
        """Keep gateways from control, which counts them as lost."""
        for name in names:
            self.cut[name] = self.now + for_s
            self.lost_at[name] = self.now
