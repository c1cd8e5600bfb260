"""Splits a stream of server-sent events into complete events."""

import attrs

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@attrs.frozen
class Event:
    """A complete event with its final blank line.

    `number` is the id of the event, None if it has no numeric id.
    """

    number: int | None
    data: bytes


@attrs.define
class EventSplitter:
    """Buffers bytes until an event is complete.

    Partial events are never returned: if an endpoint fails in the middle of an
    event, the endpoint that continues the stream sends that event again.
    """

    pending: bytearray = attrs.Factory(bytearray)

    def feed(self, data: bytes) -> list[Event]:
        """Add data to the buffer; return the events that it completes."""
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
    """Return the index after the first complete event, -1 if there is none."""
    ends = [
        position + len(separator)
        for separator in EVENT_ENDS
        if (position := data.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def event_number(raw: bytes) -> int | None:
    """Return the id of an event if it is a number, else None."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
