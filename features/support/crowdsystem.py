"""Starts a small system of real programs whose listeners a crowd can reach."""

import http.client
import http.server
import itertools
import json
import pathlib
import resource
import subprocess
import sys
import threading

import attrs
import grpc

from _coltsfootroad.control import messages
from _coltsfootroad.fakes import fleet as fleet_lib
from _coltsfootroad.fakes import launching
from _coltsfootroad.fakes import ports as ports_lib
from _coltsfootroad.shell import channels
from _coltsfootroad.shell import wireformats
from features.support import crowd
from features.support import processstate

PLATFORM = pathlib.Path("platform").resolve()
# The adapter's folder has the name of a standard library module.
sys.path.insert(0, str(PLATFORM))

from coltsplatform import dialect  # noqa: E402

HOST = ports_lib.HOST
TOKEN = "crowd-token"
SERVICE_HOST = "shop.example"
REQUEST_TIMEOUT_S = 30.0
# The endpoint takes this long for the requests of a crowd.
SLOW_S = 3.0
HEARTBEAT_INTERVAL_S = 1.0
# Less than the smallest VM of the deployments, so that a small crowd suffices.
MEMORY_MB = 150
FILE_DESCRIPTORS = 4_100
CALLER_BODY_BYTES = 4 * crowd.MB
QUERY_BODY_BYTES = crowd.KB
CONTROL_BODY_BYTES = 8 * crowd.MB
ENTRY_BODY_BYTES = 32 * crowd.MB
CONFIGURATION_FILE = pathlib.Path("features/platform/crowd-configuration.json")
HEARTBEAT = pathlib.Path("features/platform/crowd-heartbeat.json")
NAMES = dialect.NAMES
SHOP = {"Host": SERVICE_HOST, NAMES.request_id: "ordinary"}
KEY = {"Authorization": f"Bearer {fleet_lib.API_KEY}"}


@attrs.frozen
class Ordinary:
    """An ordinary request, whose response has status 200."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class Listener:
    """A listener of a program.

    Attributes:
        setting: Key of its address in the program's settings.
        path: Path of a crowd's requests.
        body_limit: Largest legal body in bytes.
        ordinary: The request that is answered afterwards.
        method: Method of a crowd's requests.
        headers: Headers of a crowd's requests.
    """

    setting: str
    path: str
    body_limit: int
    ordinary: Ordinary
    method: str = "POST"
    headers: tuple[str, ...] = ("Host: " + SERVICE_HOST,)

    def target(self, settings: dict) -> crowd.Target:
        """Return where a crowd sends its requests."""
        host, _, port = settings[self.setting].rpartition(":")
        line = f"{self.method} {self.path}"
        return crowd.Target(
            (host, int(port)), line, self.headers, self.body_limit
        )


METRICS = Ordinary("GET", "/metrics")
CONFIGURATION = Ordinary("GET", "/v1/configuration")
COMPLETION = Ordinary(
    "POST",
    "/v1/completions",
    json.dumps(
        {"model": "assistant", "prompt": "is it open?", "max_tokens": 4}
    ).encode(),
    KEY,
)
CONTROL_ADMIN = Listener(
    "admin_listen", "/v1/config", CONTROL_BODY_BYTES, METRICS, "PATCH"
)
CONTROL_API = Listener(
    "api_listen", "/v1/configuration", CONTROL_BODY_BYTES, CONFIGURATION, "PUT"
)
ENTRY_CALLERS = Listener(
    "listen", "/v1/completions", ENTRY_BODY_BYTES, COMPLETION
)
LISTENERS = {
    "gateway": {
        "callers": Listener(
            "listen",
            "/slow/x",
            CALLER_BODY_BYTES,
            Ordinary("POST", "/shop/x", b"hello" * 20_000, SHOP),
        ),
        "readiness": Listener(
            "ready_listen",
            "/v1/ready",
            QUERY_BODY_BYTES,
            Ordinary("GET", "/v1/ready"),
        ),
        "directory": Listener(
            "directory_listen",
            "/v1/addresses",
            QUERY_BODY_BYTES,
            Ordinary("GET", "/v1/addresses"),
        ),
        "metrics": Listener(
            "metrics_listen", "/metrics", QUERY_BODY_BYTES, METRICS
        ),
    },
    "replica": {"admin": CONTROL_ADMIN, "platform": CONTROL_API},
    "relay": {"admin": CONTROL_ADMIN, "platform": CONTROL_API},
    "entry": {
        "callers": ENTRY_CALLERS,
        "admin": Listener(
            "admin_listen", "/admin/drain", ENTRY_BODY_BYTES, METRICS
        ),
    },
    "standalone": {
        "callers": ENTRY_CALLERS,
        "admin": CONTROL_ADMIN,
    },
}


class ServiceHandler(http.server.BaseHTTPRequestHandler):
    """Answers ordinary requests at once, and slow ones at the end."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):  # noqa: N802
        """Read the body and answer."""
        size = int(self.headers.get("Content-Length", 0))
        while size > 0:
            size -= len(self.rfile.read(min(size, crowd.CHUNK_BYTES)))
        if self.path.startswith("/slow/"):
            self.server.released.wait(SLOW_S)
        self.send_response(200)
        request_id = self.headers.get(NAMES.request_id, "")
        self.send_header(NAMES.request_id, request_id)
        self.send_header(NAMES.signature, "by-e1")
        self.send_header("Content-Length", "4")
        self.end_headers()
        self.wfile.write(b"done")

    do_GET = do_POST  # noqa: N815

    def log_message(self, *_):
        """Log nothing."""


class Service(http.server.ThreadingHTTPServer):
    """The endpoint of the test's service."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self):
        super().__init__((HOST, 0), ServiceHandler)
        self.released = threading.Event()

    def handle_error(self, *_):
        """Ignore connections that the gateway closes."""


def call(address: str, ordinary: Ordinary) -> tuple[int, bytes]:
    """Return status and body of a request; the status is 0 without one."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(
            ordinary.method, ordinary.path, ordinary.body, ordinary.headers
        )
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error).encode()
    finally:
        connection.close()


def call_replica(address: str) -> bool:
    """Return whether a control process answers a gRPC call."""
    request = wireformats.CALLS.encode(messages.ReplicaHello())
    with grpc.insecure_channel(channels.target(address)) as channel:
        method = channel.unary_unary(channels.CALL)
        try:
            answer = method(
                request, timeout=REQUEST_TIMEOUT_S, wait_for_ready=True
            )
        except grpc.RpcError:
            return False
    return wireformats.CALLS.decode(answer).is_ok()


@attrs.define(eq=False)
class System:
    """Programs that were started, with their settings, and the endpoint.

    Attributes:
        folder: Folder of settings, logs and data.
        descriptor_limit: Limit of the descriptors of each process.
    """

    folder: pathlib.Path
    descriptor_limit: int = FILE_DESCRIPTORS
    settings: dict[str, dict] = attrs.Factory(dict)
    processes: dict[str, subprocess.Popen] = attrs.Factory(dict)
    service: Service = attrs.Factory(Service)
    fleet: fleet_lib.Fleet | None = None

    def start_program(self, name: str, command: list, **settings) -> None:
        """Start a program with limits on memory and descriptors."""
        settings["memory_mb"] = MEMORY_MB
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        limit = self.descriptor_limit
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = launching.start(
                [sys.executable, *command, "--settings", str(path)],
                stdout=log,
                stderr=log,
            )
        resource.prlimit(
            self.processes[name].pid, resource.RLIMIT_NOFILE, (limit, limit)
        )
        self.settings[name] = settings

    def ask(self, name: str, listener: Listener) -> tuple[int, bytes]:
        """Send the ordinary request of a listener."""
        return call(self.settings[name][listener.setting], listener.ordinary)

    def wait_for(self, name: str, listener: str) -> None:
        """Wait until the ordinary request of a listener succeeds."""
        found = LISTENERS[name][listener]
        processstate.wait_until(
            lambda: self.ask(name, found)[0] == 200,
            f"{listener} of {name} does not answer",
        )

    def start(self, program: str) -> None:
        """Start a program with all that it needs to serve requests."""
        getattr(self, f"start_{program}")()

    def start_replica(self, name: str = "replica", **more) -> None:
        """Start a control replica that has a configuration."""
        listen, admin, api = self.addresses(3)
        self.start_program(
            name,
            [str(PLATFORM / "control.py")],
            **{
                "replica": name,
                "listen": listen,
                "admin_listen": admin,
                "admin_token": TOKEN,
                "api_listen": api,
                "data_folder": str(self.folder / "data"),
                "seeds": [listen],
                "first_start": True,
                "structured_logs": True,
            }
            | more,
        )
        if not more:
            document = CONFIGURATION_FILE.read_bytes()
            put = Ordinary("PUT", "/v1/configuration", document)
            processstate.wait_until(
                lambda: call(api, put)[0] == 200, "no configuration is accepted"
            )
            self.wait_for(name, "platform")

    def start_relay(self) -> None:
        """Start a relay beside a replica."""
        self.start_replica()
        seeds = [self.settings["replica"]["listen"]]
        self.start_replica("relay", data_folder="", seeds=seeds)
        self.wait_for("relay", "platform")

    def start_gateway(self) -> None:
        """Start a gateway and announce the endpoint."""
        self.start_replica()
        listen, ready, directory, peer, metrics = self.addresses(5)
        self.start_program(
            "gateway",
            [str(PLATFORM / "gateway.py")],
            gateway="g1",
            listen=listen,
            ready_listen=ready,
            directory_listen=directory,
            peer_listen=peer,
            metrics_listen=metrics,
            seeds=[self.settings["replica"]["listen"]],
        )
        threading.Thread(target=self.service.serve_forever, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        self.wait_for("gateway", "callers")

    def send_heartbeats(self) -> None:
        """Announce the endpoint until the system is stopped."""
        host, port = self.service.server_address
        api = self.settings["replica"]["api_listen"]
        announcement = json.loads(HEARTBEAT.read_bytes())
        announcement["address"] = f"{host}:{port}"
        for sequence in itertools.count(1):
            announcement["sequence"] = sequence
            body = json.dumps(announcement).encode()
            call(api, Ordinary("PUT", "/v1/instances/e1", body))
            if self.service.released.wait(HEARTBEAT_INTERVAL_S):
                return

    def start_entry(self) -> None:
        """Start an entry with a replica and a fake engine."""
        self.fleet = fleet_lib.Fleet(
            self.folder / "fleet",
            entry_count=1,
            engines=1,
            plain=0,
            entry_settings={
                "memory_mb": MEMORY_MB,
                "file_descriptors": self.descriptor_limit,
            },
        )
        self.fleet.start(fleet_lib.default_config())
        program = self.fleet.programs["entry-0"]
        limit = self.descriptor_limit
        resource.prlimit(
            program.process.pid, resource.RLIMIT_NOFILE, (limit, limit)
        )
        self.processes["entry"] = program.process
        self.settings["entry"] = {
            "listen": self.fleet.listen["entry-0"],
            "admin_listen": self.fleet.admin["entry-0"],
            "peer_listen": self.fleet.peer["entry-0"],
        }
        self.wait_for("entry", "callers")

    def start_standalone(self) -> None:
        """Start all roles in one process."""
        listen, admin = self.addresses(2)
        self.start_program(
            "standalone",
            ["-m", "_coltsfootroad.commands.standalone"],
            listen=listen,
            admin_listen=admin,
            admin_token=TOKEN,
            data_folder=str(self.folder / "data"),
            fake_engines=1,
            config=fleet_lib.default_config(),
        )
        self.wait_for("standalone", "callers")

    def addresses(self, count: int) -> list[str]:
        """Return free addresses."""
        return [f"{HOST}:{port}" for port in ports_lib.free_ports(count)]

    def stop(self) -> None:
        """Kill the processes that still run, by process id."""
        self.service.released.set()
        if self.fleet is not None:
            self.fleet.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.service.server_close()
