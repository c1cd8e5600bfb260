"""Work by endpoint, kept up with each change.

The pattern it answers: hundreds of gateways tell of thousands of pieces of
work, and each choice asks about some endpoints only. Nothing here is gone
through whole for a choice, so its cost does not grow with the fleet.
"""

import attrs

from _coltsfootroad.core import work as work_lib

# Gateway, empty for this one, and the key that it gave to the work.
WorkKey = tuple[str, int]


@attrs.define
class EndpointLoad:
    """The work at one endpoint.

    Attributes:
        works: All of it.
        version: Grows with each change, so that users may keep what they work
            out from the works.
        unread: Pieces whose first event has not come.
        counted: The version at which `unread` was counted.
    """

    works: dict[WorkKey, work_lib.WorkItem] = attrs.Factory(dict)
    version: int = 0
    unread: int = 0
    counted: int = -1

    @property
    def is_reading(self) -> bool:
        """Return whether anything there has not brought its first event."""
        if self.counted != self.version:
            self.counted = self.version
            self.unread = sum(not work.writing for work in self.works.values())
        return self.unread > 0


NOTHING = EndpointLoad()


@attrs.define
class LoadIndex:
    """All work by endpoint; endpoints without work are not in it.

    Attributes:
        loads: The work at each endpoint.
        late: Pieces that wait although they are late, by endpoint.
        last_version: The newest version of any endpoint's work. An endpoint
            that had work again does not repeat a version.
    """

    loads: dict[str, EndpointLoad] = attrs.Factory(dict)
    late: dict[str, set[WorkKey]] = attrs.Factory(dict)
    last_version: int = 0

    def at(self, endpoint: str) -> EndpointLoad:
        """Return the work at an endpoint; not to be changed by the caller."""
        return self.loads.get(endpoint, NOTHING)

    def put(self, key: WorkKey, work: work_lib.WorkItem) -> None:
        """Add a piece of work, or note that it has changed."""
        load = self.loads.get(work.endpoint)
        if load is None:
            load = self.loads[work.endpoint] = EndpointLoad()
        load.works[key] = work
        self.note_change(load)
        if work.is_late_waiting:
            self.late.setdefault(work.endpoint, set()).add(key)
        else:
            self.drop_late(key, work.endpoint)

    def drop(self, key: WorkKey, work: work_lib.WorkItem) -> None:
        """Take a piece of work out."""
        load = self.loads.get(work.endpoint)
        if load is None or load.works.pop(key, None) is None:
            return
        self.note_change(load)
        self.drop_late(key, work.endpoint)
        if not load.works:
            del self.loads[work.endpoint]

    def note_change(self, load: EndpointLoad) -> None:
        """Give an endpoint's work the next version."""
        self.last_version += 1
        load.version = self.last_version

    def drop_late(self, key: WorkKey, endpoint: str) -> None:
        """Note that a piece of work does not wait late, or no longer."""
        late = self.late.get(endpoint)
        if late is None:
            return
        late.discard(key)
        if not late:
            del self.late[endpoint]
