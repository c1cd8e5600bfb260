"""A fleet of gateways that retry as much as their budgets allow.

It runs in virtual time; `check` compares sent retries with the fleet's budget.
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
# Age of its proof past which a gateway sends no requests.
STALENESS_S = 4.5
# Time after which a lost gateway is detected.
LOST_AFTER_S = 1.6
STEP_S = 0.05


@attrs.define
class Fleet:
    """Requests and retries of all gateways for one service.

    Attributes:
        requests: Times at which callers sent requests, in order.
        retries: Times at which retries reached endpoints.
        lender: The leader's retry lender, None without a leader.
        lost_answers: Share of the leader's answers that are lost.
    """

    rng: random.Random
    slack: float = SLACK
    lender: retrylending.RetryLender | None = None
    lost_answers: float = 0.0
    now: float = 100.0
    requests: list[float] = attrs.Factory(list)
    retries: list[float] = attrs.Factory(list)

    def check(self) -> None:
        """Raise AssertionError if any window holds too many retries."""
        self.retries.sort()
        for first, begin in enumerate(self.retries):
            end = begin + WINDOW_S
            found = bisect.bisect_left(self.retries, end) - first
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
        """Return the number of requests of a time span."""
        before = bisect.bisect_left(self.requests, begin)
        return bisect.bisect_left(self.requests, end) - before

    def max_retries(self) -> int:
        """Return the largest number of retries of any window."""
        self.retries.sort()
        return max(
            (
                bisect.bisect_left(self.retries, begin + WINDOW_S) - first
                for first, begin in enumerate(self.retries)
            ),
            default=0,
        )


@attrs.define
class Gateway:
    """A gateway's budget and its view of the members.

    Attributes:
        seen_at: Time of its last contact with control.
        until: Time before which its process does not run.
        reserved: Reserved retries that were not sent yet.
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
        """Start another incarnation without any state."""
        self.budget = windowbudget.WindowBudget(
            RATIO, self.fleet.slack, WINDOW_S
        )
        self.rotation = rotation_lib.Rotation(members.MemberView())
        self.slack_share = minimumshare.MinimumShare(
            WINDOW_S + STALENESS_S + windowbudget.ARRIVAL_LAG_S, STALENESS_S
        )
        self.seen_at = float("-inf")
        self.reserved.clear()

    def update_members(self, names: list[str]) -> None:
        """Apply the list of running gateways from control."""
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
    def can_send(self) -> bool:
        """Return whether it runs and its proof is not too old."""
        now = self.fleet.now
        return now >= self.until and now - self.seen_at < STALENESS_S

    def serve(self) -> None:
        """Receive a new request."""
        self.fleet.requests.append(self.fleet.now)
        self.budget.on_request(self.fleet.now)

    def retry(self, max_retries: int = 10_000) -> int:
        """Send as many retries as the budget allows; return their number."""
        count = 0
        while count < max_retries and self.can_send and self.reserve():
            count += self.send_reserved()
        return count

    def reserve(self) -> bool:
        """Reserve a retry; return whether the budget had one."""
        now = self.fleet.now
        share = self.slack_share.minimum(now)
        retry = self.budget.reserve(share, now)
        if retry is None and self.borrow():
            retry = self.budget.reserve(share, now)
        if retry is not None:
            self.reserved.append(retry)
        return retry is not None

    def borrow(self) -> int:
        """Borrow retries from the leader; return the number received."""
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
        """Send the last reserved retry; return whether it was allowed."""
        now = self.fleet.now
        retry = self.reserved.pop()
        is_sent = self.budget.charge(retry, self.slack_share.minimum(now), now)
        self.fleet.retries += [now] * is_sent
        return is_sent


@attrs.define
class World:
    """Gateways that start, crash and lose their connection to control.

    Attributes:
        lost_at: Time of the loss of each gateway that is unreachable.
        partitioned: End of the partition of each gateway without control.
        serving: Gateways that callers use.
    """

    count: int
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    slack: float = SLACK
    fleet: Fleet = attrs.field(init=False)
    gateways: dict[str, Gateway] = attrs.field(init=False)
    lost_at: dict[str, float] = attrs.Factory(dict)
    partitioned: dict[str, float] = attrs.Factory(dict)
    serving: set[str] = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.fleet = Fleet(self.rng, self.slack)
        self.elect_leader()
        self.gateways = {
            f"g{number}": Gateway(f"g{number}", self.fleet)
            for number in range(self.count)
        }
        self.serving = set(self.gateways)

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.fleet.now

    def detected_gateways(self) -> list[str]:
        """Return the gateways that control considers running."""
        return [
            name
            for name, gateway in self.gateways.items()
            if self.now - self.lost_at.get(name, self.now) < LOST_AFTER_S
        ]

    def run(self, seconds: float, retry_rate: float, rate: float = 0.0) -> None:
        """Advance the time; rates are per gateway and second."""
        end = self.now + seconds
        while self.now < end - STEP_S / 2:
            self.fleet.now += STEP_S
            self.step(retry_rate, rate)

    def step(self, retry_rate: float, rate: float) -> None:
        """Advance by one step: update members, receive requests, retry."""
        for name in [
            n for n, until in self.partitioned.items() if self.now >= until
        ]:
            del self.partitioned[name]
            self.lost_at.pop(name, None)
        for name, gateway in self.gateways.items():
            if name not in self.partitioned and self.now >= gateway.until:
                self.lost_at.pop(name, None)
        running = self.detected_gateways()
        for name, gateway in self.gateways.items():
            if name not in self.partitioned and self.now >= gateway.until:
                gateway.update_members(running)
            if not gateway.can_send or name not in self.serving:
                continue
            if self.rng.random() < rate * STEP_S:
                gateway.serve()
            if self.rng.random() < retry_rate * STEP_S:
                gateway.retry(self.rng.choice((1, 3, 10_000)))

    def elect_leader(self) -> None:
        """Elect another leader, which has no record of loans."""
        self.fleet.lender = retrylending.RetryLender(self.now)

    def hide(self, names: list[str]) -> None:
        """Hide gateways from control until they run."""
        for name in names:
            self.lost_at[name] = float("-inf")

    def kill(self, names: list[str], down_s: float) -> None:
        """Kill gateways; each restarts after `down_s`."""
        for name in names:
            self.gateways[name].start()
            self.gateways[name].until = self.now + down_s
            self.lost_at[name] = self.now

    def reserve_all(self) -> None:
        """Let all gateways reserve every retry of their budgets."""
        for gateway in self.gateways.values():
            while gateway.reserve():
                pass

    def send_reserved(self) -> None:
        """Let all gateways that can send do so with their reserved retries."""
        for gateway in self.gateways.values():
            while gateway.reserved and gateway.can_send:
                gateway.send_reserved()

    def partition(self, names: list[str], for_s: float) -> None:
        """Partition gateways from control, which considers them lost."""
        for name in names:
            self.partitioned[name] = self.now + for_s
            self.lost_at[name] = self.now
