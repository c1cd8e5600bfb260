"""Selects free loopback ports for programs of tests and demos."""

import os
import random
import socket

HOST = "127.0.0.1"
# Below Linux's ephemeral port range (32768 and up): any connection can take an
# ephemeral port between its selection and its use, and callers would then reach
# an unrelated program.
MIN_PORT = 10_000
MAX_PORT = 32_000
MAX_TRIES = 1_000
# Share of the range after whose use ports are returned again.
MAX_USED_SHARE = 0.9
# Ports that were returned; their programs may not listen yet.
RETURNED_PORTS: set[int] = set()


def process_host() -> str:
    """Return a loopback address that depends on the process id.

    While a program restarts, its port is free and another test run on the
    same machine could take it; each run therefore uses its own address.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) % 256}.{1 + pid % 254}"


def free_port(host: str = HOST) -> int:
    """Return a port that is free, a different one at each call.

    Raises:
        OSError: No free port was found.
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
    """Return `count` different free ports."""
    return [free_port(host) for _ in range(count)]
