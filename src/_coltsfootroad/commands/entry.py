"""`colts-entry`: accepts requests and dispatches them; stores nothing."""

import time

from _coltsfootroad.commands import common
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import endpointclient
from _coltsfootroad.shell import entryserver
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib

# Incarnations are in milliseconds, so that two starts do not share one.
INCARNATIONS_PER_S = 1_000


def new_incarnation() -> int:
    """Return a number that is greater than that of every earlier start."""
    return int(time.time() * INCARNATIONS_PER_S)


def build(settings: settings_lib.EntrySettings) -> entryserver.EntryServer:
    """Return an entry with its dependencies."""
    process_metrics = metrics.Metrics.start("colts-entry")
    clients = clientmemory.ClientMemory.of(settings, entryserver.MAX_BODY_BYTES)
    clients.add_metrics(process_metrics)
    return entryserver.EntryServer(
        settings=settings,
        incarnation=new_incarnation(),
        control=links.GrpcControlClient(settings.control),
        client=endpointclient.HttpEndpointClient(settings.max_connections),
        metrics=process_metrics,
        clients=clients,
    )


def main(_: list[str]) -> int:
    """Run an entry until it is stopped."""
    settings = common.read_settings(settings_lib.EntrySettings)
    if not settings.control:
        common.reject_usage("settings: $.control is empty, needs an address")
    logs.start(settings.log_level)

    async def serve() -> int:
        server = build(settings)
        await server.start()
        if not await common.wait_for_stop(
            [server.fatal_error], server.dump, server.stop_requested
        ):
            return common.EXIT_FAILED
        await server.drain()
        return common.EXIT_OK

    return common.run_loop(serve)


def run() -> None:
    """Run the program."""
    common.start(main, __doc__)


if __name__ == "__main__":
    run()
