"""Runs fake endpoints in a process: `python -m` with a JSON file."""

import json
import sys

import attrs

from _coltsfootroad.commands import common
from _coltsfootroad.core import documents
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.fakes import httpendpoint


@attrs.frozen(kw_only=True)
class EndpointSettings:
    """Settings of one fake endpoint."""

    name: str
    service: str
    address: str
    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE
    incarnation: int = 1
    plain_s: float = 0.0
    speed: engine_lib.EngineSpeed = engine_lib.EngineSpeed()
    availability_zone: str = ""


@attrs.frozen(kw_only=True)
class ServeSettings:
    """All fake endpoints of a process and the entries they announce to."""

    entries: tuple[str, ...]
    endpoints: tuple[EndpointSettings, ...]
    run_log: str = ""


def build(settings: ServeSettings) -> list[httpendpoint.FakeEndpoint]:
    """Return the endpoints of the settings."""
    return [
        httpendpoint.FakeEndpoint(
            name=item.name,
            service=item.service,
            address=item.address,
            entries=list(settings.entries),
            kind=item.kind,
            incarnation=item.incarnation,
            plain_s=item.plain_s,
            speed=item.speed,
            availability_zone=item.availability_zone,
        )
        for item in settings.endpoints
    ]


async def serve(settings: ServeSettings) -> int:
    """Serve until stopped; write the run counts to `run_log`."""
    endpoints = build(settings)
    for endpoint in endpoints:
        await endpoint.start()

    def dump() -> bytes:
        return json.dumps({e.name: e.runs for e in endpoints}).encode()

    await common.wait_for_stop([], dump)
    if settings.run_log:
        with open(settings.run_log, "wb") as file:
            file.write(dump())
    return common.EXIT_OK


def main() -> int:
    """Serve the endpoints of the settings file on the command line."""
    with open(sys.argv[1], encoding="utf-8") as file:
        document = json.load(file)
    settings = documents.CONVERTER.structure(document, ServeSettings)
    return common.run_loop(lambda: serve(settings))


if __name__ == "__main__":
    sys.exit(main())
