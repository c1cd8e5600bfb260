"""Answers which gateways to use and whether this one is ready."""

import tornado.web

from _coltsfootroad.core import addresses
from _coltsfootroad.core import errors
from _coltsfootroad.core import hashing
from _coltsfootroad.shell import web

# Callers of a zone are given that zone's gateways, which saves bytes between
# zones, and where these are fewer than this, some of other zones as well. A
# gateway that is lost or frozen costs its callers a second for each connection
# until their answer is renewed: with two gateways, half of a zone.
MIN_ADDRESSES = 4
SPREAD_KEY = "directory"
MAX_ADDRESSES = 64
MAX_QUERY_BODY = 1024


def addresses_for_zone(
    members: tuple[addresses.Member, ...], zone: str
) -> tuple[str, ...]:
    """Return the gateways for callers of a zone out of those in use."""
    local = [m for m in members if m.availability_zone == zone]
    remote = [m for m in members if m.availability_zone != zone]
    # Zones that need others choose different ones.
    remote.sort(key=lambda m: hashing.stable_hash(m.entry, SPREAD_KEY + zone))
    chosen = local + remote[: max(0, MIN_ADDRESSES - len(local))]
    return tuple(member.address for member in chosen[:MAX_ADDRESSES])


class AddressHandler(web.Handler):
    """Names the gateways that a caller may use."""

    def initialize(self, gateway):
        """Keep the gateway."""
        self.gateway = gateway

    def get(self):
        """Answer with addresses and how long they may be kept."""
        found = addresses_for_zone(
            self.gateway.view.rotation.current(),
            self.get_query_argument("zone", ""),
        )
        if not found or not self.gateway.knows_members():
            self.fail(
                errors.Failure(
                    errors.ErrorCode.UNAVAILABLE,
                    "no gateway is known",
                    retry_after_s=1,
                )
            )
            return
        self.send_value(
            {
                "addresses": list(found),
                "valid_for_s": self.gateway.settings.address_validity_s,
            }
        )


class ReadyHandler(web.Handler):
    """Says whether the gateway takes requests."""

    def initialize(self, gateway):
        """Keep the gateway."""
        self.gateway = gateway

    def get(self):
        """Answer 200 while requests are served, else 503."""
        # Not being ready is an ordinary answer, no fault to be logged.
        ready = self.gateway.is_ready()
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "version": self.gateway.view.version})


def directory_app(gateway) -> tornado.web.Application:
    """Return the application that names gateways."""
    return tornado.web.Application(
        [(r"/v1/addresses", AddressHandler, {"gateway": gateway})]
    )


def ready_app(gateway) -> tornado.web.Application:
    """Return the application that tells readiness."""
    return tornado.web.Application(
        [(r"/v1/ready", ReadyHandler, {"gateway": gateway})]
    )


def metrics_app(metrics) -> tornado.web.Application:
    """Return the application that shows metrics."""
    return tornado.web.Application(
        [(r"/metrics", web.MetricsHandler, {"metrics": metrics})]
    )
