"""Serves gateway addresses, the readiness check and metrics over HTTP."""

import tornado.web

from _coltsfootroad.core import addresses
from _coltsfootroad.core import errors
from _coltsfootroad.core import hashing
from _coltsfootroad.shell import web

# Callers get the gateways of their own zone, which saves traffic between zones.
# If there are fewer than this, gateways of other zones are added: a lost or
# frozen gateway costs its callers a second for each connection until they
# refresh the addresses, and with two gateways, it affects half of a zone.
MIN_ADDRESSES = 4
HASH_KEY_PREFIX = "directory"
MAX_ADDRESSES = 64
# Partitioned gateways are left out only while at least this share of the
# gateways is not partitioned. They still serve callers through the others, and
# few gateways could not bear the connections of all callers.
MIN_REACHING_SHARE = 0.5
MAX_QUERY_BODY = 1024


def addresses_for_zone(
    members: tuple[addresses.Member, ...], zone: str
) -> tuple[str, ...]:
    """Return the addresses of gateways for the callers of a zone."""
    reaching = tuple(m for m in members if not m.partitioned)
    if len(reaching) >= MIN_REACHING_SHARE * len(members):
        members = reaching
    local = [m for m in members if m.availability_zone == zone]
    remote = [m for m in members if m.availability_zone != zone]
    # Zones that need remote gateways choose different ones.
    remote.sort(
        key=lambda m: hashing.stable_hash(m.entry, HASH_KEY_PREFIX + zone)
    )
    chosen = local + remote[: max(0, MIN_ADDRESSES - len(local))]
    return tuple(member.address for member in chosen[:MAX_ADDRESSES])


class AddressHandler(web.Handler):
    """Serves the addresses of the gateways that a caller may use."""

    def initialize(self, gateway):
        """Store the gateway."""
        self.gateway = gateway

    def get(self):
        """Respond with addresses and how long they may be cached."""
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
    """Serves the readiness check."""

    def initialize(self, gateway):
        """Store the gateway."""
        self.gateway = gateway

    def get(self):
        """Respond with 200 while requests are accepted, else 503."""
        # A 503 is an expected response here and must not be logged as an error.
        ready = self.gateway.is_ready()
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "version": self.gateway.view.version})


def directory_app(gateway) -> tornado.web.Application:
    """Return the application that serves gateway addresses."""
    return tornado.web.Application(
        [(r"/v1/addresses", AddressHandler, {"gateway": gateway})]
    )


def ready_app(gateway) -> tornado.web.Application:
    """Return the application that serves the readiness check."""
    return tornado.web.Application(
        [(r"/v1/ready", ReadyHandler, {"gateway": gateway})]
    )


def metrics_app(metrics) -> tornado.web.Application:
    """Return the application that serves metrics."""
    return tornado.web.Application(
        [(r"/metrics", web.MetricsHandler, {"metrics": metrics})]
    )
