"""A stand-in for a client: one connection over a plain socket."""

import socket
import time

TIME_IS_OVER = "the client's time is over"


class Answer:
    """What a client has received of one answer.

    Attributes:
        status: HTTP status, 0 if no head arrived.
        headers: Headers with names in lower case.
        body: Bytes of the body, without the framing of chunks.
        complete: Whether the answer is complete by its framing.
        end: Why reading ended.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.end = ""


class Client:
    """One connection of a client.

    Args:
        address: IP address and port of the daemon.
        receive_buffer: Size of the socket's receive buffer, 0 for the default.
        bytes_per_s: Rate at which the client reads, 0 for as fast as it can.
    """

    def __init__(self, address, receive_buffer=0, bytes_per_s=0):
        self.bytes_per_s = bytes_per_s
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self.socket.settimeout(1.0)
        self.socket.connect(address)
        self.buffer = b""
        self.read_bytes = 0
        self.read_since = None

    def send(self, data):
        """Send bytes."""
        self.socket.sendall(data)

    def close(self):
        """Close the connection."""
        self.socket.close()

    def receive(self, until):
        """Receive some bytes; return False at the end or after `until`."""
        if self.bytes_per_s and self.read_since is not None:
            due = self.read_since + self.read_bytes / self.bytes_per_s
            time.sleep(max(0.0, due - time.monotonic()))
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError(TIME_IS_OVER)
        self.socket.settimeout(left)
        data = self.socket.recv(16 * 1024)
        if self.read_since is None:
            self.read_since = time.monotonic()
        self.read_bytes += len(data)
        self.buffer += data
        return bool(data)

    def read_answer(self, timeout_s):
        """Read one answer until it is complete or ends."""
        answer = Answer()
        until = time.monotonic() + timeout_s
        try:
            while b"\r\n\r\n" not in self.buffer:
                if not self.receive(until):
                    answer.end = "closed without a head"
                    return answer
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split()[1])
            for line in lines[1:]:
                name, _, value = line.partition(":")
                answer.headers[name.strip().lower()] = value.strip()
            self.read_body(answer, until)
        except TimeoutError:
            answer.end = TIME_IS_OVER
        except OSError as error:
            answer.end = f"connection failed: {error}"
        return answer

    def read_body(self, answer, until):
        """Read the body by its length or in chunks."""
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            self.read_chunks(answer, until)
            return
        length = int(answer.headers.get("content-length", 0))
        pieces = [self.buffer]
        size = len(self.buffer)
        self.buffer = b""
        try:
            while size < length:
                if not self.receive(until):
                    answer.end = "closed in the body"
                    return
                pieces.append(self.buffer)
                size += len(self.buffer)
                self.buffer = b""
            answer.complete = True
            answer.end = "complete"
        finally:
            data = b"".join(pieces)
            answer.body, self.buffer = data[:length], data[length:]

    def read_chunks(self, answer, until):
        """Read a chunked body."""
        while True:
            while b"\r\n" not in self.buffer:
                if not self.receive(until):
                    answer.end = "closed in the body"
                    return
            size_text, _, self.buffer = self.buffer.partition(b"\r\n")
            size = int(size_text, 16)
            while len(self.buffer) < size + 2:
                if not self.receive(until):
                    answer.body += self.buffer[:size]
                    answer.end = "closed in the body"
                    return
            answer.body += self.buffer[:size]
            self.buffer = self.buffer[size + 2 :]
            if not size:
                answer.complete = True
                answer.end = "complete"
                return
