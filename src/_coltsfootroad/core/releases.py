"""Frees memory on engines by cancels that repeat until confirmed."""

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
    """Repeats cancels of own work and frees work of lost entries."""

    owner: str
    pending: dict[tuple[str, endpoints.WorkKey], float] = attrs.Factory(dict)
    orphaned: set[tuple[str, endpoints.WorkKey]] = attrs.Factory(set)

    def release(
        self,
        view: endpoints.EndpointView,
        key: endpoints.WorkKey,
        now: float,
    ) -> actions.Cancel:
        """Start to free an own work item."""
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
        """Return a cancel and schedule its repetition."""
        pause_s = CANCEL_RETRY_S
        if work is not None:
            work.cancels += 1
            pause_s *= 2 ** (work.cancels - 1)
        again_at = now + min(pause_s, MAX_CANCEL_RETRY_S)
        self.pending[endpoint, key] = again_at
        return actions.Cancel(
            endpoint=endpoint, request_id=key[0], attempt=key[1]
        )

    def confirmed(self, endpoint: str, key: endpoints.WorkKey) -> None:
        """Stop repeating a cancel."""
        self.pending.pop((endpoint, key), None)
        self.orphaned.discard((endpoint, key))

    def forget_endpoint(self, endpoint: str) -> None:
        """Stop cancels at an endpoint that ended, and with it its memory."""
        for item in [i for i in self.pending if i[0] == endpoint]:
            self.confirmed(*item)

    def due(self, find_view: FindView, now: float) -> list[actions.Cancel]:
        """Return the cancels that are due."""
        found = []
        for (endpoint, key), at in list(self.pending.items()):
            if at > now:
                continue
            view = find_view(endpoint)
            work = view.work.get(key) if view is not None else None
            found.append(self.cancel(endpoint, key, work, now))
        return found

    def next_timer(self) -> float | None:
        """Return the time of the next repetition, None if there is none."""
        return min(self.pending.values(), default=None)

    def reconcile(
        self,
        view: endpoints.EndpointView,
        report: endpoints.LoadReport,
        members: tuple[addresses.Member, ...],
        now: float,
    ) -> list[actions.Cancel]:
        """Return cancels for held memory that is no longer needed."""
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
        """Return whether this entry should free a held work item.

        Own work that is unknown is freed. Work of another entry is freed only
        if a later incarnation of that entry proves that the process has ended,
        or after the request's deadline: an isolated entry may still serve it
        until then.
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
        """Return whether this entry frees the lost work at an endpoint.

        Rendezvous hashing selects one entry for each endpoint.
        """
        owners = [f"{m.entry}/{m.incarnation}" for m in members]
        if not owners:
            return True
        responsible = max(
            owners, key=lambda o: pool_lib.fleet_rank(endpoint, o)
        )
        return responsible == self.owner
