"""Tracks the endpoints of an entry: announcements, load reports and ends."""

import attrs

from _coltsfootroad.core import endpoints
from _coltsfootroad.core import faults
from _coltsfootroad.core import hosts
from _coltsfootroad.core import registry

Fault = faults.Fault


@attrs.define
class Roster(hosts.Following):
    """The part of the entry core that tracks endpoints."""

    core: hosts.RosterHost

    def take_announcement(
        self, announcement: registry.Announcement, now: float
    ) -> None:
        """Apply an announcement unless a newer one is known."""
        name = announcement.endpoint
        view = self.core.view(name)
        if view is not None:
            is_same = announcement == view.announcement
            is_newer = registry.is_newer(announcement, view.announcement)
            if not is_newer and not (is_same and view.expired):
                return
            view.expired = False
            previous = view.announcement
            has_restarted = announcement.incarnation > previous.incarnation
            if (
                has_restarted
                or announcement.state is registry.EndpointState.GONE
            ):
                self.fail_attempts(view, now)
            elif previous.state is registry.EndpointState.LEAVING:
                announcement = attrs.evolve(announcement, state=previous.state)
        if announcement.state is registry.EndpointState.GONE:
            self.drop_endpoint(name, now)
            return
        self.core.endpoint_service[name] = announcement.service
        self.core.pool(announcement.service).update(announcement, now)
        self.core.dispatcher.pump(announcement.service, now)

    def drop_endpoint(self, name: str, now: float) -> None:
        """Remove an endpoint and fail the attempts at it."""
        view = self.core.view(name)
        if view is None:
            return
        self.fail_attempts(view, now)
        service = self.core.endpoint_service.pop(name)
        self.core.pools[service].remove(name)

    def expire_endpoint(self, name: str, now: float) -> None:
        """Send no new work to an endpoint whose lease has ended.

        Streams that make progress continue, as only the announcements may be
        lost. The timers of all its requests are checked at once.
        """
        view = self.core.view(name)
        if view is None:
            return
        view.expired = True
        self.core.pools[self.core.endpoint_service[name]].classify(view)
        for request_id, attempt in view.work:
            flight = self.core.attempts.running(request_id, attempt)
            if flight is not None:
                self.core.flights.arm(flight, now)

    def drop_expired(self, now: float) -> None:
        """Remove expired endpoints without active work.

        Later load reports reveal memory that is still held there.
        """
        for name in list(self.core.endpoint_service):
            view = self.core.view(name)
            if view.expired and not view.has_active_work():
                self.drop_endpoint(name, now)

    def fail_attempts(self, view: endpoints.EndpointView, now: float) -> None:
        """Fail every attempt at an endpoint that ended or restarted."""
        self.core.releaser.forget_endpoint(view.name)
        lost = list(view.work)
        view.work.clear()
        for request_id, attempt in lost:
            flight = self.core.attempts.running(request_id, attempt)
            if flight is not None:
                self.core.attempts.attempt_failed(
                    flight, view.name, Fault.LOST, now
                )

    def take_load(self, report: endpoints.LoadReport, now: float) -> None:
        """Apply a load report and reconcile the held memory."""
        view = self.core.view(report.endpoint)
        if view is None or not view.on_report(report, now):
            return
        pool = self.core.pools[self.core.endpoint_service[view.name]]
        pool.classify(view)
        self.core.out += self.core.releaser.reconcile(
            view, report, self.core.freshness.members, now
        )
