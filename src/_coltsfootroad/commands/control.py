"""`colts-control`: one replica of the durable state."""

from collections.abc import Callable
import pathlib

from absl import flags

from _coltsfootroad.commands import common
from _coltsfootroad.shell import controlrelay
from _coltsfootroad.shell import controlserver
from _coltsfootroad.shell import disk as disk_lib
from _coltsfootroad.shell import links
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib

LOG = logs.logger("main")
# Adds a platform's own calls at an address, passed on by a way to the leader.
Adapt = Callable[[links.ControlClient, str], None]
BOOTSTRAP = flags.DEFINE_bool(
    "bootstrap",
    False,
    "Begin a new system with this replica as its only voter. Once, ever: a"
    " replica that lost its disk must be replaced instead.",
)


def build(
    settings: settings_lib.ControlSettings,
) -> controlserver.ControlServer:
    """Wire the parts of a replica."""
    folder = disk_lib.DataFolder(pathlib.Path(settings.data_folder))
    folder.open()
    return controlserver.ControlServer(
        settings, folder, metrics.Metrics.start("colts-control")
    )


def no_adapter(_link: links.ControlClient, _address: str) -> None:
    """Add no calls of a platform."""


def reload(
    server: controlserver.ControlServer | controlrelay.ControlRelay,
) -> None:
    """Read the settings again; only seeds may change while it runs."""
    loaded = settings_lib.load(
        common.SETTINGS.value, settings_lib.ControlSettings
    )
    if loaded.is_ok():
        server.control_client.add_addresses(loaded.ok.peers())
        LOG.info("settings reloaded", peers=list(loaded.ok.peers()))
    else:
        LOG.error("settings not reloaded", fault=loaded.error)


async def serve(
    settings: settings_lib.ControlSettings,
    bootstrap: bool,
    adapt: Adapt = no_adapter,
) -> int:
    """Run a replica until it is told to stop."""
    server = build(settings)
    if settings.bootstraps_system():
        server.bootstrap()
    elif bootstrap and not server.bootstrap():
        common.complain(
            f"--bootstrap: data folder {settings.data_folder} is in use"
            " already; start without the flag"
        )
        return common.EXIT_USAGE
    adapt(controlserver.ForwardingControlClient(server), settings.api_listen)
    await server.start()
    common.on_reload(lambda: reload(server))
    # They may have changed between the first reading and now.
    reload(server)
    went_well = await common.wait_for_stop([server.fatal_error], server.dump)
    await server.stop()
    return common.EXIT_OK if went_well else common.EXIT_FAILED


async def serve_relay(
    settings: settings_lib.ControlSettings, adapt: Adapt
) -> int:
    """Run a process without a disk until it is told to stop."""
    relay = controlrelay.ControlRelay(
        settings, controlserver.make_relay(settings)
    )
    adapt(relay.control_client, settings.api_listen)
    await relay.start()
    common.on_reload(lambda: reload(relay))
    went_well = await common.wait_for_stop([relay.fatal_error], relay.dump)
    await relay.stop()
    return common.EXIT_OK if went_well else common.EXIT_FAILED


def main(_: list[str]) -> int:
    """Run a replica."""
    return main_with(no_adapter)


def main_with(adapt: Adapt) -> int:
    """Run a replica to which a platform's calls are added."""
    settings = common.read_settings(settings_lib.ControlSettings)
    logs.start(settings.log_level, structured=settings.structured_logs)
    if not settings.data_folder:
        return common.run_loop(lambda: serve_relay(settings, adapt))
    try:
        return common.run_loop(lambda: serve(settings, BOOTSTRAP.value, adapt))
    except disk_lib.DiskError as error:
        common.complain(str(error))
        return common.EXIT_FAILED


def run() -> None:
    """Run the program."""
    common.start(main, __doc__)


if __name__ == "__main__":
    run()
