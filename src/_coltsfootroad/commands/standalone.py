"""`colts-standalone`: all roles in one process, for trying out."""

import asyncio
import json
import pathlib

import attrs

from _coltsfootroad.commands import common
from _coltsfootroad.commands import entry as entry_command
from _coltsfootroad.control import messages
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import httpendpoint
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import controlserver
from _coltsfootroad.shell import disk as disk_lib
from _coltsfootroad.shell import endpointclient
from _coltsfootroad.shell import entryserver
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import metrics as metrics_lib
from _coltsfootroad.shell import operatorapi
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import web

MAX_CONNECTIONS = 500
LEADER_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02


@attrs.define(eq=False)
class Standalone:
    """The components of a one-process system."""

    settings: settings_lib.StandaloneSettings
    control: controlserver.ControlServer
    entry: entryserver.EntryServer
    endpoints: list[httpendpoint.FakeEndpoint]
    admin: object = None

    async def start(self) -> None:
        """Start the components, the control replica first."""
        if not self.control.bootstrap():
            LOG.info("data folder {} is in use, reusing it", self.data_folder)
        self.control.run_tick()
        await self.wait_for_leader()
        await self.put_config()
        self.listen_admin()
        await self.entry.start(listen_admin=False)
        for endpoint in self.endpoints:
            await endpoint.start()

    @property
    def data_folder(self) -> str:
        """Return the path of the data folder."""
        return self.settings.data_folder

    async def wait_for_leader(self) -> None:
        """Wait until the only replica is leader."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LEADER_TIMEOUT_S
        while self.control.node.coordinator is None and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def put_config(self) -> None:
        """Apply the initial configuration, unless one is already stored."""
        if self.control.node.state.configs.version or not self.settings.config:
            return
        answer = await self.control.call(
            messages.PatchConfig(
                patch_id="standalone-first",
                base_version=0,
                patch=json.dumps(self.settings.config).encode(),
            )
        )
        if answer.failure is not None:
            LOG.error("first configuration refused: {}", answer.failure.message)

    def listen_admin(self) -> None:
        """Serve the operator API, the state dump and the metrics."""
        routes = operatorapi.routes(self.control) + web.admin_routes(
            self.settings.admin_token, self.dump, self.entry.metrics
        )
        self.admin = clientserver.listen(
            operatorapi.make_application(routes),
            self.settings.admin_listen,
            operatorapi.MAX_BODY_BYTES,
            self.entry.clients,
        )

    def dump(self) -> bytes:
        """Return the state dumps of both roles."""
        parts = {
            "entry": json.loads(self.entry.dump()),
            "control": json.loads(self.control.dump()),
        }
        return json.dumps(parts, indent=1).encode()

    async def stop(self) -> None:
        """Drain the entry, then stop all components."""
        await self.entry.drain()
        for endpoint in self.endpoints:
            await endpoint.stop()
        self.admin.stop()
        await self.control.stop()


LOG = logs.logger("standalone")


def build(settings: settings_lib.StandaloneSettings) -> Standalone:
    """Return a system whose roles share an event loop."""
    metrics = metrics_lib.Metrics.start("colts-standalone")
    clients = clientmemory.ClientMemory.of(settings, entryserver.MAX_BODY_BYTES)
    folder = disk_lib.DataFolder(pathlib.Path(settings.data_folder))
    folder.open()
    control = controlserver.ControlServer(
        settings_lib.ControlSettings(
            replica="standalone",
            listen=settings.admin_listen,
            admin_listen=settings.admin_listen,
            admin_token=settings.admin_token,
            data_folder=settings.data_folder,
        ),
        folder,
        metrics,
        clients,
    )
    entry = entryserver.EntryServer(
        settings=settings_lib.EntrySettings(
            entry="standalone",
            listen=settings.listen,
            admin_listen=settings.admin_listen,
            admin_token=settings.admin_token,
        ),
        incarnation=entry_command.new_incarnation(),
        control=controlserver.LocalControlClient(control),
        client=endpointclient.HttpEndpointClient(MAX_CONNECTIONS),
        metrics=metrics,
        clients=clients,
    )
    clients.add_metrics(metrics)
    endpoints = fake_endpoints(settings, clients)
    return Standalone(settings, control, entry, endpoints)


def fake_endpoints(
    settings: settings_lib.StandaloneSettings,
    clients: clientmemory.ClientMemory,
) -> list[httpendpoint.FakeEndpoint]:
    """Return the fake endpoints: engines and one plain service."""
    host, port = settings_lib.split_address(settings.listen)
    fakes = []
    for number in range(settings.fake_engines):
        fakes.append(
            httpendpoint.FakeEndpoint(
                name=f"engine-{number}",
                service="assistant",
                address=f"{host}:{port + 100 + number}",
                entries=[settings.listen],
                incarnation=entry_command.new_incarnation(),
                clients=clients,
            )
        )
    if settings.fake_engines:
        fakes.append(
            httpendpoint.FakeEndpoint(
                name="billing-0",
                service="billing",
                address=f"{host}:{port + 99}",
                entries=[settings.listen],
                kind=servicekind.ServiceKind.PLAIN,
                incarnation=entry_command.new_incarnation(),
                clients=clients,
            )
        )
    return fakes


def main(_: list[str]) -> int:
    """Run a complete system until it is stopped."""
    settings = common.read_settings(settings_lib.StandaloneSettings)
    logs.start(settings.log_level)

    async def serve() -> int:
        system = build(settings)
        await system.start()
        LOG.info("try: curl http://{}/v1/addresses", settings.listen)
        failures = [system.entry.fatal_error, system.control.fatal_error]
        stopped_normally = await common.wait_for_stop(failures, system.dump)
        await system.stop()
        return common.EXIT_OK if stopped_normally else common.EXIT_FAILED

    try:
        return common.run_loop(serve)
    except disk_lib.DiskError as error:
        common.print_error(str(error))
        return common.EXIT_FAILED


def run() -> None:
    """Run the program."""
    common.start(main, __doc__)


if __name__ == "__main__":
    run()
