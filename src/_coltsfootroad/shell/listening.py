"""Errors of listening, with the address that operators have to look at."""

from collections.abc import Iterator
import contextlib


class ListenError(Exception):
    """An address cannot be listened at: in use, or not this VM's."""

    def __init__(self, address: str, reason: str):
        super().__init__(f"cannot listen at {address}: {reason}")


@contextlib.contextmanager
def at(address: str) -> Iterator[None]:
    """Raise `ListenError` for an `OSError` of listening at an address."""
    try:
        yield
    except OSError as error:
        raise ListenError(address, error.strerror or str(error)) from error
