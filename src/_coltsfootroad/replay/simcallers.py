"""The callers of a simulated fleet and the results of their requests."""

import attrs

from _coltsfootroad.core import actions
from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.replay import network as network_lib
from _coltsfootroad.replay import processes


@attrs.define
class RequestRecord:
    """The result of one request as seen by its caller.

    Attributes:
        first_token_s: Seconds until the first token reaches the caller.
        end_count: Number of ends received; more than 1 is a fault.
        cut_off: Whether the connection was closed before the end.
    """

    request: request_lib.Request
    entry: str
    first_token_s: float | None = None
    ended_at: float | None = None
    finished: bool = False
    failure: errors.Failure | None = None
    data: list[bytes] = attrs.Factory(list)
    answer: request_lib.Answer | None = None
    end_count: int = 0
    cut_off: bool = False


@attrs.define(eq=False)
class SimCallers:
    """Sends requests to entries and records the results.

    Attributes:
        one_way_s: Delay between a caller and an entry.
        records: Results by request id.
    """

    network: network_lib.Network
    one_way_s: float = 0.001
    records: dict[str, RequestRecord] = attrs.Factory(dict)
    entries: processes.EntriesInterface = attrs.field(init=False)

    def submit(
        self, request: request_lib.Request, entry_name: str = ""
    ) -> None:
        """Send a request to the named entry, else to a random one."""
        entry = self.entries.by_name.get(entry_name) or self.pick_entry()
        record = RequestRecord(request, entry.name if entry else "")
        self.records[request.request_id] = record
        if entry is None or not entry.alive:
            record.cut_off = True
            return
        arrives_at = self.network.now + self.one_way_s
        self.network.call_at(
            arrives_at, self.deliver, entry, entry.core, request
        )

    def pick_entry(self) -> processes.SimEntry | None:
        """Return a random entry of those that an address answer would list."""
        now = self.network.now
        alive = [
            entry
            for entry in self.entries.by_name.values()
            if entry.alive
            and not entry.core.draining
            and now >= entry.frozen_until
        ]
        return self.network.rng.choice(alive) if alive else None

    def deliver(
        self, entry: processes.SimEntry, core, request: request_lib.Request
    ) -> None:
        """Deliver a request to an entry."""
        now = self.network.now
        if entry.core is not core or not entry.alive:
            self.records[request.request_id].cut_off = True
            return
        if now < entry.frozen_until:
            self.network.call_at(
                entry.frozen_until, self.deliver, entry, core, request
            )
            return
        shift = now - request.arrived_at
        request = attrs.evolve(
            request, arrived_at=now, deadline_at=request.deadline_at + shift
        )
        self.entries.run_core(entry, core.submit, request)

    def record_action(
        self, action: actions.Emit | actions.Finish | actions.Fail
    ) -> None:
        """Record a chunk or the end of a request."""
        record = self.records.get(action.request_id)
        if record is None:
            return
        now = self.network.now
        match action:
            case actions.Emit():
                record.data.append(action.chunk.data)
                if record.first_token_s is None:
                    requested_at = record.request.arrived_at
                    record.first_token_s = now - requested_at + self.one_way_s
            case actions.Finish():
                record.finished = True
                record.answer = action.answer
                record.ended_at = now
                record.end_count += 1
            case actions.Fail():
                record.failure = action.failure
                record.ended_at = now
                record.end_count += 1

    def cut_off(self, entry_name: str) -> None:
        """Close the connections of callers whose entry was killed."""
        for record in self.records.values():
            if record.entry == entry_name and not record.end_count:
                record.cut_off = True
