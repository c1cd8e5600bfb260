"""Starts a gateway whose path to the endpoints can be cut.

The active cut is read from a JSON file, so that it can change while the gateway
runs. Only paths to endpoints are cut; other gateways and control stay in reach.
"""

import asyncio
import json
import pathlib

from absl import flags

from _coltsfootroad.commands import common
from _coltsfootroad.commands import gateway
from _coltsfootroad.gateway import endpointprobe
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import settings as settings_lib

FAULTS = flags.DEFINE_string("faults", None, "JSON file with the active cut.")
POLL_INTERVAL_S = 0.05

original_exchange = upstream.EndpointPool.exchange
original_serve = gateway.serve
open_streams: set = set()


def active_cut() -> dict:
    """Return the active cut, empty for none."""
    try:
        return json.loads(pathlib.Path(FAULTS.value).read_bytes())
    except (OSError, ValueError):
        # The file is missing or partially written.
        return {}


def is_cut_off(address: str, cut: dict) -> bool:
    """Return whether the path to an address is cut."""
    return bool(cut) and address not in cut["gateways"]


class RedirectedSettings:
    """The settings module; addresses behind a cut are replaced."""

    def __getattr__(self, name):
        return getattr(settings_lib, name)

    @staticmethod
    def split_address(address: str) -> tuple[str, int]:
        """Return the address to connect to."""
        cut = active_cut()
        if is_cut_off(address, cut):
            address = cut["instead"]
        return settings_lib.split_address(address)


async def exchange(pool, stream, request, sink) -> upstream.CallEnd:
    """Run one request; its connection can be reset meanwhile."""
    entry = (pool.address, stream)
    open_streams.add(entry)
    try:
        return await original_exchange(pool, stream, request, sink)
    finally:
        open_streams.discard(entry)


async def reset_connections() -> None:
    """Close connections behind a cut that resets them."""
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        cut = active_cut()
        if not cut.get("reset"):
            continue
        for address, stream in list(open_streams):
            if is_cut_off(address, cut):
                stream.close()


async def serve(settings, dialect) -> int:
    """Run a gateway and reset its connections as cuts demand."""
    resetter = asyncio.ensure_future(reset_connections())
    try:
        return await original_serve(settings, dialect)
    finally:
        resetter.cancel()


if __name__ == "__main__":
    upstream.settings_lib = RedirectedSettings()
    endpointprobe.settings_lib = RedirectedSettings()
    upstream.EndpointPool.exchange = exchange
    gateway.serve = serve
    common.start(gateway.main, gateway.__doc__)
