"""Announcements of endpoints that a leader may lack, sent a page at a time."""

from collections.abc import Iterable
import itertools

import attrs

from _coltsfootroad.core import registry

# Most announcements of one request: what is sent again after a lost response
# stays bounded, whatever the number of endpoints.
MAX_PAGE_ANNOUNCEMENTS = 500


@attrs.define
class Backlog:
    """Keeps the newest announcement of each endpoint until it is delivered.

    Attributes:
        pending: What has not been delivered, by endpoint.
    """

    pending: dict[str, registry.Announcement] = attrs.Factory(dict)

    def add(self, announcement: registry.Announcement) -> None:
        """Queue an announcement, unless a later one is queued."""
        known = self.pending.get(announcement.endpoint)
        if known is None or registry.is_newer(announcement, known):
            self.pending[announcement.endpoint] = announcement

    def add_all(self, announcements: Iterable[registry.Announcement]) -> None:
        """Queue several announcements."""
        for announcement in announcements:
            self.add(announcement)

    def refresh(self, current: Iterable[registry.Announcement]) -> None:
        """Replace what is queued by what is known now; drop the rest."""
        self.pending = {
            announcement.endpoint: announcement
            for announcement in current
            if announcement.endpoint in self.pending
        }

    def page(self) -> tuple[registry.Announcement, ...]:
        """Return what the next request carries."""
        return tuple(
            itertools.islice(self.pending.values(), MAX_PAGE_ANNOUNCEMENTS)
        )

    def settle(self, delivered: Iterable[registry.Announcement]) -> None:
        """Forget what a request that was answered has carried."""
        for announcement in delivered:
            if self.pending.get(announcement.endpoint) == announcement:
                del self.pending[announcement.endpoint]
