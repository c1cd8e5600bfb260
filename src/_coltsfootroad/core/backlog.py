"""Endpoint announcements that a leader may lack, sent in pages."""

from collections.abc import Iterable
import itertools

import attrs

from _coltsfootroad.core import registry

# Announcements per request. It bounds what is sent again after a lost response,
# regardless of the number of endpoints.
MAX_PAGE_ANNOUNCEMENTS = 500


@attrs.define
class Backlog:
    """Keeps the newest announcement of each endpoint until it is delivered.

    Attributes:
        pending: Undelivered announcements by endpoint.
    """

    pending: dict[str, registry.Announcement] = attrs.Factory(dict)

    def add(self, announcement: registry.Announcement) -> None:
        """Queue an announcement unless a newer one is queued."""
        known = self.pending.get(announcement.endpoint)
        if known is None or registry.is_newer(announcement, known):
            self.pending[announcement.endpoint] = announcement

    def add_all(self, announcements: Iterable[registry.Announcement]) -> None:
        """Queue several announcements."""
        for announcement in announcements:
            self.add(announcement)

    def refresh(self, current: Iterable[registry.Announcement]) -> None:
        """Replace queued announcements by current ones; drop the others."""
        self.pending = {
            announcement.endpoint: announcement
            for announcement in current
            if announcement.endpoint in self.pending
        }

    def page(self) -> tuple[registry.Announcement, ...]:
        """Return the announcements of the next request."""
        return tuple(
            itertools.islice(self.pending.values(), MAX_PAGE_ANNOUNCEMENTS)
        )

    def settle(self, delivered: Iterable[registry.Announcement]) -> None:
        """Remove the announcements that an answered request has delivered.

        An announcement that was replaced meanwhile stays queued.
        """
        for announcement in delivered:
            if self.pending.get(announcement.endpoint) == announcement:
                del self.pending[announcement.endpoint]
