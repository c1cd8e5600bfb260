"""Kinds of services."""

import enum


class ServiceKind(enum.Enum):
    """Whether a service is served by model engines or plain endpoints."""

    ENGINE = "engine"
    PLAIN = "plain"
