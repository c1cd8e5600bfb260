"""Index of the work by endpoint, updated with each change.

Hundreds of gateways report thousands of work items, and each choice reads a few
endpoints only. A choice never iterates over the entire index, so its cost does
not grow with the fleet.
"""

import attrs

from _coltsfootroad.core.placement import work as work_lib

# Gateway, empty for this one, and the key that it assigned to the work.
WorkKey = tuple[str, int]


@attrs.define
class EndpointLoad:
    """The work at one endpoint.

    Attributes:
        works: Work by key.
        version: Increases with each change, so that results computed from the
            work can be cached.
        prefilling: Work items without a first event.
        counted_version: Version at which `prefilling` was counted.
    """

    works: dict[WorkKey, work_lib.WorkItem] = attrs.Factory(dict)
    version: int = 0
    prefilling: int = 0
    counted_version: int = -1

    @property
    def is_prefilling(self) -> bool:
        """Return whether any work has not produced its first event."""
        if self.counted_version != self.version:
            self.counted_version = self.version
            self.prefilling = sum(
                not work.writing for work in self.works.values()
            )
        return self.prefilling > 0


NO_LOAD = EndpointLoad()


@attrs.define
class LoadIndex:
    """Work by endpoint; endpoints without work are absent.

    Attributes:
        loads: The work at each endpoint.
        late: Keys of late work that is queued, by endpoint.
        last_version: The newest version of all endpoints' work. A shared
            counter, so that an endpoint that has work again after it had none
            does not repeat a version.
    """

    loads: dict[str, EndpointLoad] = attrs.Factory(dict)
    late: dict[str, set[WorkKey]] = attrs.Factory(dict)
    last_version: int = 0

    def at(self, endpoint: str) -> EndpointLoad:
        """Return the work at an endpoint; callers must not modify it."""
        return self.loads.get(endpoint, NO_LOAD)

    def put(self, key: WorkKey, work: work_lib.WorkItem) -> None:
        """Add or update a work item."""
        load = self.loads.get(work.endpoint)
        if load is None:
            load = self.loads[work.endpoint] = EndpointLoad()
        load.works[key] = work
        self.bump_version(load)
        if work.is_late_waiting:
            self.late.setdefault(work.endpoint, set()).add(key)
        else:
            self.remove_late(key, work.endpoint)

    def drop(self, key: WorkKey, work: work_lib.WorkItem) -> None:
        """Remove a work item."""
        load = self.loads.get(work.endpoint)
        if load is None or load.works.pop(key, None) is None:
            return
        self.bump_version(load)
        self.remove_late(key, work.endpoint)
        if not load.works:
            del self.loads[work.endpoint]

    def bump_version(self, load: EndpointLoad) -> None:
        """Assign the next version to an endpoint's work."""
        self.last_version += 1
        load.version = self.last_version

    def remove_late(self, key: WorkKey, endpoint: str) -> None:
        """Remove a work item from the late ones, if present."""
        late = self.late.get(endpoint)
        if late is None:
            return
        late.discard(key)
        if not late:
            del self.late[endpoint]
