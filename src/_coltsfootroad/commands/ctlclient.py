"""HTTP client and output functions of `colts-ctl`."""

import json
import time

from absl import flags
import pycurl
import tornado.httpclient

from _coltsfootroad.commands import common
from _coltsfootroad.shell import settings as settings_lib

EXIT_STALE = 3
RETRY_DELAY_S = 0.3

JSON = flags.DEFINE_bool("json", False, "Print JSON for scripts.")


class Unreachable(Exception):  # noqa: N818
    """No replica answered."""


class Client:
    """Calls the replicas over HTTP until the leader answers."""

    def __init__(self, settings: settings_lib.CtlSettings):
        self.settings = settings
        self.http = tornado.httpclient.HTTPClient()

    def fetch(self, address: str, path: str, **arguments):
        """Return the response of one address, None if it did not answer."""
        headers = arguments.pop("headers", {})
        headers["Authorization"] = f"Bearer {self.settings.admin_token}"
        try:
            return self.http.fetch(
                f"http://{address}{path}",
                headers=headers,
                raise_error=False,
                request_timeout=self.settings.timeout_s,
                connect_timeout=min(2.0, self.settings.timeout_s),
                **arguments,
            )
        except (OSError, pycurl.error, tornado.httpclient.HTTPError):
            return None

    def call_leader(self, path: str, **arguments):
        """Return the leader's response; retry until the time-out.

        Retries are safe: reads change nothing, patches carry an id, and
        replica changes state the resulting set.

        Raises:
            Unreachable: The leader did not answer in time.
        """
        deadline = time.monotonic() + self.settings.timeout_s
        while time.monotonic() < deadline:
            for address in self.settings.control:
                response = self.fetch(address, path, **dict(arguments))
                if response is not None and not is_leader_unavailable(response):
                    return response
            time.sleep(RETRY_DELAY_S)
        raise Unreachable("no leading replica answered in time")

    def call_leader_once(self, path: str, **arguments):
        """Return the leader's response, None if no replica leads."""
        for address in self.settings.control:
            response = self.fetch(address, path, **dict(arguments))
            if response is not None and not is_leader_unavailable(response):
                return response
        return None


def is_leader_unavailable(response) -> bool:
    """Return whether the call must be retried or sent to another replica."""
    return response.code in (503, 599)


def print_result(value: object, text: str) -> None:
    """Print a result as JSON or as text."""
    print(json.dumps(value) if JSON.value else text)


def report_failure(response) -> int:
    """Print the error of a response; return the exit code."""
    try:
        error = json.loads(response.body)["error"]
    except (ValueError, KeyError, TypeError):
        error = {"code": "failed", "message": f"status {response.code}"}
    if JSON.value:
        print(json.dumps({"error": error}))
    common.print_error(f"{error['code']}: {error['message']}")
    stale = error["code"] == "stale_version"
    return EXIT_STALE if stale else common.EXIT_FAILED
