"""Command line programs, one per module."""

import sys

from _coltsfootroad.shell import startsignals

# Signal handlers are installed before any other import.
startsignals.install(sys.argv)

from _coltsfootroad.shell import clocks as clocks  # noqa: E402
from _coltsfootroad.shell import earlylistener  # noqa: E402

# Listens before the libraries are imported, because these imports take most of
# a program's start time.
earlylistener.listen(sys.argv)
