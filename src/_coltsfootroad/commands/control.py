"""`colts-control`: a control replica or a relay of the control plane."""

from collections.abc import Callable
import pathlib

from absl import flags

from _coltsfootroad.commands import common
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import controlrelay
from _coltsfootroad.shell import controlserver
from _coltsfootroad.shell import disk as disk_lib
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import operatorapi
from _coltsfootroad.shell import settings as settings_lib

LOG = logs.logger("main")
# Serves a platform's API; its calls are forwarded to the leader.
AddPlatformApi = Callable[
    [
        links.ControlClient,
        settings_lib.ControlSettings,
        clientmemory.ClientMemory,
    ],
    object,
]
BOOTSTRAP = flags.DEFINE_bool(
    "bootstrap",
    False,
    "Bootstrap a new system with this replica as its only voter. Use it only"
    " once per system: a replica that lost its disk must be replaced instead.",
)


def build(
    settings: settings_lib.ControlSettings,
) -> controlserver.ControlServer:
    """Return a replica with its dependencies."""
    folder = disk_lib.DataFolder(pathlib.Path(settings.data_folder))
    folder.open()
    process_metrics = metrics.Metrics.start("colts-control")
    clients = count_clients(settings)
    clients.add_metrics(process_metrics)
    return controlserver.ControlServer(
        settings, folder, process_metrics, clients
    )


def count_clients(
    settings: settings_lib.ControlSettings,
) -> clientmemory.ClientMemory:
    """Return the bounds of what clients cost a control process."""
    return clientmemory.ClientMemory.of(settings, operatorapi.MAX_BODY_BYTES)


def add_no_platform_api(
    _link: links.ControlClient,
    _settings: settings_lib.ControlSettings,
    _clients: clientmemory.ClientMemory,
) -> None:
    """Serve no platform API."""


def reload(
    server: controlserver.ControlServer | controlrelay.ControlRelay,
) -> None:
    """Reload the settings; only the seeds can change at run time."""
    loaded = settings_lib.load(
        common.SETTINGS.value, settings_lib.ControlSettings
    )
    if loaded.is_ok():
        server.control_client.add_addresses(loaded.ok.peers())
        LOG.info("settings reloaded", peers=list(loaded.ok.peers()))
    else:
        LOG.error("settings not reloaded", fault=loaded.error)


async def run_replica(
    settings: settings_lib.ControlSettings,
    bootstrap: bool,
    add_platform_api: AddPlatformApi = add_no_platform_api,
) -> int:
    """Run a replica until it is stopped."""
    server = build(settings)
    if settings.bootstraps_system():
        server.bootstrap()
    elif bootstrap and not server.bootstrap():
        common.print_error(
            f"--bootstrap: data folder {settings.data_folder} is already in"
            " use; start without the flag"
        )
        return common.EXIT_USAGE
    add_platform_api(
        controlserver.ForwardingControlClient(server), settings, server.clients
    )
    await server.start()
    common.set_reload_action(lambda: reload(server))
    # The settings may have changed since they were first read.
    reload(server)
    stopped_normally = await common.wait_for_stop(
        [server.fatal_error], server.dump
    )
    await server.stop()
    return common.EXIT_OK if stopped_normally else common.EXIT_FAILED


async def run_relay(
    settings: settings_lib.ControlSettings, add_platform_api: AddPlatformApi
) -> int:
    """Run a relay, which has no disk, until it is stopped."""
    relay = controlrelay.ControlRelay(
        settings, controlserver.make_relay(settings), count_clients(settings)
    )
    add_platform_api(relay.control_client, settings, relay.clients)
    await relay.start()
    common.set_reload_action(lambda: reload(relay))
    stopped_normally = await common.wait_for_stop(
        [relay.fatal_error], relay.dump
    )
    await relay.stop()
    return common.EXIT_OK if stopped_normally else common.EXIT_FAILED


def main(_: list[str]) -> int:
    """Run a replica or a relay."""
    return main_with(add_no_platform_api)


def main_with(add_platform_api: AddPlatformApi) -> int:
    """Run a replica or a relay that also serves a platform's API."""
    settings = common.read_settings(settings_lib.ControlSettings)
    logs.start(settings.log_level, structured=settings.structured_logs)
    if not settings.data_folder:
        return common.run_loop(lambda: run_relay(settings, add_platform_api))
    try:
        return common.run_loop(
            lambda: run_replica(settings, BOOTSTRAP.value, add_platform_api)
        )
    except disk_lib.DiskError as error:
        common.print_error(str(error))
        return common.EXIT_FAILED


def run() -> None:
    """Run the program."""
    common.start(main, __doc__)


if __name__ == "__main__":
    run()
