"""Conversion of JSON documents to typed data, with readable errors."""

import cattrs
import cattrs.preconf.json
from cattrs.v import format_exception


def check_positive(_, attribute, value) -> None:
    """Raise ValueError for numbers that are not above zero."""
    if value is not None and not value > 0:
        raise ValueError(f"{attribute.name} is {value!r}, must be above 0")


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types."""
    converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, strict_hook(kind))
    return converter


def strict_hook(kind):
    """Return a hook that accepts only `kind`, without conversion.

    Integers are accepted for floats.
    """

    def structure(value, _):
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise TypeError(f"{value!r} is not of type {kind.__name__}")
        return value

    return structure


CONVERTER = make_converter()


def describe_error(error: Exception, kind: type | None) -> str:
    """Return the message of one error; hooks and validators name the value."""
    if isinstance(error, (TypeError, ValueError)) and error.args:
        return str(error.args[0])
    return format_exception(error, kind)


def describe_errors(error: Exception, path: str = "config") -> str:
    """Return one sentence per error, each with the path of its key."""
    return "; ".join(cattrs.transform_error(error, path, describe_error))
