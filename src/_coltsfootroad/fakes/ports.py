"""Picks ports for programs that tests and demos start on loopback."""

import os
import random
import socket

HOST = "127.0.0.1"
# Below the range that the system hands out by itself on Linux (32768 and
# up): a port from there can be taken by any connection in the time between
# its choice and its use, and a caller then talks to a stranger.
MIN_PORT = 10_000
MAX_PORT = 32_000
MAX_TRIES = 1_000
# Part of the range after which ports are handed out again.
MAX_USED_SHARE = 0.9
# Ports of programs that are set up and may not listen yet.
RETURNED_PORTS: set[int] = set()


def process_host() -> str:
    """Return a loopback address that this process alone hands out.

    A program that is down for a moment leaves its port to whoever looks for
    one; other runs on the same machine look at other addresses.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) % 256}.{1 + pid % 254}"


def free_port(host: str = HOST) -> int:
    """Return a port that nobody listens on, another one at each call.

    Raises:
        OSError: None was found.
    """
    rng = random.SystemRandom()
    if len(RETURNED_PORTS) >= MAX_USED_SHARE * (MAX_PORT - MIN_PORT):
        RETURNED_PORTS.clear()
    for _ in range(MAX_TRIES):
        port = rng.randrange(MIN_PORT, MAX_PORT)
        if port in RETURNED_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            RETURNED_PORTS.add(port)
            return port
    raise OSError(f"no free port between {MIN_PORT} and {MAX_PORT}")


def free_ports(count: int, host: str = HOST) -> list[int]:
    """Return as many different ports that nobody listens on."""
    return [free_port(host) for _ in range(count)]
