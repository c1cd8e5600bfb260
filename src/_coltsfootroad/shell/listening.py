"""Errors of listening on an address, which name that address."""

from collections.abc import Iterator
import contextlib


class ListenError(Exception):
    """An address cannot be bound: it is in use, or not one of this vm."""

    def __init__(self, address: str, reason: str):
        super().__init__(f"cannot listen at {address}: {reason}")


@contextlib.contextmanager
def errors_at(address: str) -> Iterator[None]:
    """Convert an `OSError` of the block into a `ListenError` of the address."""
    try:
        yield
    except OSError as error:
        raise ListenError(address, error.strerror or str(error)) from error
