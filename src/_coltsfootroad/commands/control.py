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
AddPlatformApi = Callable[[links.ControlLink, str], None]
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


def add_no_platform_api(_link: links.ControlLink, _address: str) -> None:
    """Add no calls of a platform."""


def reload(
    server: controlserver.ControlServer | controlrelay.ControlRelay,
) -> None:
    """Read the settings again; only seeds may change while it runs."""
    loaded = settings_lib.load(
        common.SETTINGS.value, settings_lib.ControlSettings
    )
    if loaded.is_ok():
        server.link.learn(loaded.ok.peers())
        LOG.info("settings reloaded", peers=list(loaded.ok.peers()))
    else:
        LOG.error("settings not reloaded", fault=loaded.error)


async def run_replica(
    settings: settings_lib.ControlSettings,
    bootstrap: bool,
    add_platform_api: AddPlatformApi = add_no_platform_api,
) -> int:
    """Run a replica until it is told to stop."""
    server = build(settings)
    if settings.begins_system():
        server.bootstrap()
    elif bootstrap and not server.bootstrap():
        common.print_error(
            f"--bootstrap: data folder {settings.data_folder} is in use"
            " already; start without the flag"
        )
        return common.EXIT_USAGE
    add_platform_api(controlserver.LeaderLink(server), settings.api_listen)
    await server.start()
    common.set_reload_action(lambda: reload(server))
    # They may have changed between the first reading and now.
    reload(server)
    stopped_normally = await common.wait_for_stop([server.broken], server.dump)
    await server.stop()
    return common.EXIT_OK if stopped_normally else common.EXIT_FAILED


async def run_relay(
    settings: settings_lib.ControlSettings, add_platform_api: AddPlatformApi
) -> int:
    """Run a process without a disk until it is told to stop."""
    relay = controlrelay.ControlRelay(
        settings, controlserver.relay_of(settings)
    )
    add_platform_api(relay.link, settings.api_listen)
    await relay.start()
    common.set_reload_action(lambda: reload(relay))
    stopped_normally = await common.wait_for_stop([relay.broken], relay.dump)
    await relay.stop()
    return common.EXIT_OK if stopped_normally else common.EXIT_FAILED


def main(_: list[str]) -> int:
    """Run a replica."""
    return main_with(add_no_platform_api)


def main_with(add_platform_api: AddPlatformApi) -> int:
    """Run a replica to which a platform's calls are added."""
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
