"""Coltsfootroad: a serving layer for prompts of very different lengths.

This is the public interface. Everything else is in `_coltsfootroad` and may
change without notice.
"""

from _coltsfootroad.core.config import Config
from _coltsfootroad.core.config import parse as parse_config
from _coltsfootroad.core.entry import EntryCore
from _coltsfootroad.core.errors import ErrorCode
from _coltsfootroad.core.errors import Failure
from _coltsfootroad.core.errors import Ran
from _coltsfootroad.core.policies import Policy
from _coltsfootroad.core.request import Request
from _coltsfootroad.version import VERSION

__version__ = VERSION

__all__ = [
    "Config",
    "EntryCore",
    "ErrorCode",
    "Failure",
    "Policy",
    "Ran",
    "Request",
    "__version__",
    "parse_config",
]
