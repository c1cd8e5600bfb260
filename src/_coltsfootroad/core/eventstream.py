"""Splits a stream of server-sent events into whole events."""

import attrs

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@attrs.frozen
class Event:
    """One whole event with its closing blank line; `number` is its id."""

    number: int | None
    data: bytes


@attrs.define
class EventSplitter:
    """Collects bytes until an event is whole; half ones are never passed on.

    An endpoint may die in the middle of an event, and the rest of the
    stream then comes from another endpoint, which sends that event again.
    """

    pending: bytearray = attrs.Factory(bytearray)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now."""
        self.pending += data
        found = []
        while True:
            end = find_end(self.pending)
            if end < 0:
                return found
            raw = bytes(self.pending[:end])
            del self.pending[:end]
            found.append(Event(event_number(raw), raw))


def find_end(data: bytearray) -> int:
    """Return the index after the first whole event, -1 if there is none."""
    ends = [
        place + len(mark)
        for mark in EVENT_ENDS
        if (place := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def event_number(raw: bytes) -> int | None:
    """Return the id of an event if it is a number."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
