"""Dumps the state of a process as JSON for operators."""

import enum
import json

import attrs

MAX_ITEMS = 10_000
MAX_TEXT = 200
MAX_DEPTH = 12
SECRET_NAMES = ("admin_token", "endpoint_token", "key_sha256", "payload")


def to_plain(value: object, depth: int = 0) -> object:
    """Convert a value to JSON types; truncate long and deep values."""
    if depth > MAX_DEPTH:
        return "..."
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (int, float, bool)) or value is None:
        return value
    if isinstance(value, (bytes, bytearray)):
        return f"{len(value)} bytes"
    if isinstance(value, str):
        return value[:MAX_TEXT]
    if attrs.has(type(value)):
        return attrs_to_plain(value, depth)
    if isinstance(value, dict):
        items = list(value.items())[:MAX_ITEMS]
        return {str(k): to_plain(v, depth + 1) for k, v in items}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_plain(v, depth + 1) for v in list(value)[:MAX_ITEMS]]
    return type(value).__name__


def attrs_to_plain(value: object, depth: int) -> dict:
    """Convert an attrs object, without secrets and back references."""
    return {
        field.name: to_plain(getattr(value, field.name), depth + 1)
        for field in attrs.fields(type(value))
        if field.name not in SECRET_NAMES and field.name != "core"
    }


def to_json(value: object) -> bytes:
    """Return the dump of a value as JSON."""
    return json.dumps(to_plain(value), indent=1).encode()
