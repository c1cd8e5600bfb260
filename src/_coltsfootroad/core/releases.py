"""Frees memory on engines: cancels until confirmed, finds what was lost."""

from collections.abc import Callable

import attrs

from _coltsfootroad.core import actions
from _coltsfootroad.core import addresses
from _coltsfootroad.core import endpoints
from _coltsfootroad.core import pool as pool_lib

FindView = Callable[[str], endpoints.EndpointView | None]

CANCEL_RETRY_S = 0.5
MAX_CANCEL_RETRY_S = 8.0


@attrs.define
class Releaser:
    """Repeats cancels of own work and reclaims work of lost entries."""

    owner: str
    pending: dict[tuple[str, endpoints.WorkKey], float] = attrs.Factory(dict)
    orphaned: set[tuple[str, endpoints.WorkKey]] = attrs.Factory(set)

    def release(
        self,
        view: endpoints.EndpointView,
        key: endpoints.WorkKey,
        now: float,
    ) -> actions.Cancel:
        """Begin to free a piece of own work."""
        work = view.work[key]
        work.state = endpoints.WorkState.RELEASING
        return self.cancel(view.name, key, work, now)

    def cancel(
        self,
        endpoint: str,
        key: endpoints.WorkKey,
        work: endpoints.OwnWork | None,
        now: float,
    ) -> actions.Cancel:
        """Return a cancel and plan its repetition."""
        pause = CANCEL_RETRY_S
        if work is not None:
            work.cancels += 1
            pause *= 2 ** (work.cancels - 1)
        again_at = now + min(pause, MAX_CANCEL_RETRY_S)
        self.pending[endpoint, key] = again_at
        return actions.Cancel(
            endpoint=endpoint, request_id=key[0], attempt=key[1]
        )

    def confirmed(self, endpoint: str, key: endpoints.WorkKey) -> None:
        """Stop repeating a cancel."""
        self.pending.pop((endpoint, key), None)
        self.orphaned.discard((endpoint, key))

    def forget_endpoint(self, endpoint: str) -> None:
        """Stop cancelling at an endpoint that is gone with its memory."""
        for item in [i for i in self.pending if i[0] == endpoint]:
            self.confirmed(*item)

    def due(self, find_view: FindView, now: float) -> list[actions.Cancel]:
        """Return the cancels to repeat now."""
        found = []
        for (endpoint, key), at in list(self.pending.items()):
            if at > now:
                continue
            view = find_view(endpoint)
            work = view.work.get(key) if view is not None else None
            found.append(self.cancel(endpoint, key, work, now))
        return found

    def next_timer(self) -> float | None:
        """Return when the next cancel is to be repeated."""
        return min(self.pending.values(), default=None)

    def reconcile(
        self,
        view: endpoints.EndpointView,
        report: endpoints.LoadReport,
        members: tuple[addresses.Member, ...],
        now: float,
    ) -> list[actions.Cancel]:
        """Return cancels for held memory that nobody needs any more."""
        found = []
        for held in report.held:
            key = (held.request_id, held.attempt)
            if (view.name, key) in self.pending or key in view.work:
                continue
            if self.is_lost(held, view.name, members):
                self.orphaned.add((view.name, key))
                found.append(self.cancel(view.name, key, None, now))
        return found

    def is_lost(
        self,
        held: endpoints.HeldWork,
        endpoint: str,
        members: tuple[addresses.Member, ...],
    ) -> bool:
        """Return whether this entry should free a piece of held work.

        Own work that is not known any more is free to go. Work of another
        entry is freed only when a later start of that entry proves the old
        process dead, or past the request's deadline: an isolated entry may
        still be serving it until then.
        """
        if held.owner == self.owner:
            return True
        name, _, incarnation = held.owner.rpartition("/")
        restarted = any(
            m.entry == name and m.incarnation > int(incarnation or 0)
            for m in members
        )
        if not restarted and held.expires_in_s > 0:
            return False
        return self.is_responsible(endpoint, members)

    def is_responsible(
        self, endpoint: str, members: tuple[addresses.Member, ...]
    ) -> bool:
        """Return whether this entry cleans up after others at an endpoint."""
        owners = [f"{m.entry}/{m.incarnation}" for m in members]
        if not owners:
            return True
        adopter = max(owners, key=lambda o: pool_lib.fleet_rank(endpoint, o))
        return adopter == self.owner
