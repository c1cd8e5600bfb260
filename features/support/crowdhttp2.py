"""Clients that send gRPC messages of legal size without their last byte.

gRPC's own client sends whole messages only, so these speak as much HTTP/2 as
that takes: they keep to the flow control and answer pings.
"""

import contextlib
import select
import socket
import struct
import threading

import attrs

from features.support import crowd

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, WINDOW_UPDATE = 0, 1, 4, 6, 8
ACK = 1
END_HEADERS = 4
INITIAL_WINDOW_SETTING = 4
INITIAL_WINDOW = 65_535
STREAM = 1
FRAME_HEADER_BYTES = 9
MAX_FRAME_BYTES = 16_384
POLL_S = 0.2


def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Return an HTTP/2 frame."""
    length = struct.pack(">I", len(payload))[1:]
    return length + struct.pack(">BBI", kind, flags, stream) + payload


def headers(path: str) -> bytes:
    """Return the headers of a gRPC call, as literals without an index."""
    fields = {
        ":method": "POST",
        ":scheme": "http",
        ":path": path,
        ":authority": "x",
        "te": "trailers",
        "content-type": "application/grpc",
    }
    block = b""
    for name, value in fields.items():
        block += b"\0" + bytes([len(name)]) + name.encode()
        block += bytes([len(value)]) + value.encode()
    return block


@attrs.define(eq=False)
class Http2Client:
    """Sends one message without its last byte, and stays open.

    Attributes:
        address: IP address and port.
        path: Path of the gRPC method.
        size: Bytes of the message, as announced.
        stopped: Set when the client is to leave.
        unsent: Bytes that it has yet to send.
    """

    address: tuple[str, int]
    path: str
    size: int
    stopped: threading.Event
    unsent: int = 0
    connection_window: int = INITIAL_WINDOW
    stream_window: int = INITIAL_WINDOW
    initial_window: int = INITIAL_WINDOW
    received: bytes = b""

    def run(self) -> None:
        """Send until the client is stopped or the server closes."""
        with contextlib.suppress(OSError), socket.socket() as connection:
            connection.connect(self.address)
            connection.sendall(PREFACE + frame(SETTINGS, 0, 0, b""))
            connection.sendall(
                frame(HEADERS, END_HEADERS, STREAM, headers(self.path))
            )
            self.send_data(connection, struct.pack(">BI", 0, self.size))
            self.unsent = self.size - 1
            while not self.stopped.is_set():
                self.send_some(connection)
                if not self.read(connection):
                    return

    def send_some(self, connection: socket.socket) -> None:
        """Send as much of the message as the windows allow."""
        while self.unsent:
            window = min(self.connection_window, self.stream_window)
            count = min(window, self.unsent, MAX_FRAME_BYTES)
            if count <= 0 or self.stopped.is_set():
                return
            self.send_data(connection, bytes(crowd.BODY[:count]))
            self.unsent -= count

    def send_data(self, connection: socket.socket, data: bytes) -> None:
        """Send a frame of data."""
        connection.sendall(frame(DATA, 0, STREAM, data))
        self.connection_window -= len(data)
        self.stream_window -= len(data)

    def read(self, connection: socket.socket) -> bool:
        """Read frames if there are any; return False at the end."""
        if not select.select([connection], [], [], POLL_S)[0]:
            return True
        data = connection.recv(crowd.CHUNK_BYTES)
        self.received += data
        while len(self.received) >= FRAME_HEADER_BYTES:
            size = int.from_bytes(self.received[:3], "big")
            end = FRAME_HEADER_BYTES + size
            if len(self.received) < end:
                break
            kind, flags, stream = struct.unpack(
                ">BBI", self.received[3:FRAME_HEADER_BYTES]
            )
            payload = self.received[FRAME_HEADER_BYTES:end]
            self.received = self.received[end:]
            self.on_frame(connection, kind, flags, stream, payload)
        return bool(data)

    def on_frame(self, connection, kind, flags, stream, payload) -> None:
        """Handle a frame of the server."""
        if kind == WINDOW_UPDATE:
            (increment,) = struct.unpack(">I", payload)
            if stream:
                self.stream_window += increment
            else:
                self.connection_window += increment
        elif kind == SETTINGS and not flags & ACK:
            for offset in range(0, len(payload), 6):
                key, value = struct.unpack(">HI", payload[offset : offset + 6])
                if key == INITIAL_WINDOW_SETTING:
                    self.stream_window += value - self.initial_window
                    self.initial_window = value
            connection.sendall(frame(SETTINGS, ACK, 0, b""))
        elif kind == PING and not flags & ACK:
            connection.sendall(frame(PING, ACK, 0, payload))
