"""`colts-gateway`: passes requests to endpoints according to the routes."""

from _coltsfootroad.commands import common
from _coltsfootroad.gateway import dialect as dialect_lib
from _coltsfootroad.gateway import server as server_lib
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib

LOG = logs.logger("main")


def build(
    settings: settings_lib.GatewaySettings, dialect: dialect_lib.Dialect
) -> server_lib.Gateway:
    """Return a gateway with its dependencies."""
    return server_lib.Gateway(
        settings, dialect, metrics.Metrics.start("colts-gateway")
    )


def reload(gateway: server_lib.Gateway) -> None:
    """Reload the settings; invalid settings are logged and not applied."""
    loaded = settings_lib.load(
        common.SETTINGS.value, settings_lib.GatewaySettings
    )
    if loaded.is_ok():
        gateway.reload(loaded.ok)
    else:
        LOG.error("settings not reloaded", fault=loaded.error)


async def serve(
    settings: settings_lib.GatewaySettings, dialect: dialect_lib.Dialect
) -> int:
    """Run a gateway until it is stopped."""
    gateway = build(settings, dialect)
    await gateway.start()
    common.set_reload_action(lambda: reload(gateway))
    # The settings may have changed since they were first read.
    reload(gateway)
    stopped_normally = await common.wait_for_stop([], gateway.dump)
    await gateway.drain()
    return common.EXIT_OK if stopped_normally else common.EXIT_FAILED


def main_with(dialect: dialect_lib.Dialect) -> int:
    """Run a gateway with a platform's header names and engine calls."""
    settings = common.read_settings(settings_lib.GatewaySettings)
    if not settings.seeds:
        common.reject_usage("settings: $.seeds is empty, needs an address")
    logs.start(settings.log_level, structured=True)
    return common.run_loop(lambda: serve(settings, dialect))


def main(_: list[str]) -> int:
    """Run a gateway."""
    return main_with(dialect_lib.Dialect())


def run() -> None:
    """Run the program."""
    common.start(main, __doc__)


if __name__ == "__main__":
    run()
