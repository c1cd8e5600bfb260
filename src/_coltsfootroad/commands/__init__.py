"""Command lines; each module is one program."""

import sys

from _coltsfootroad.shell import startsignals

# Before anything else is imported.
startsignals.install(sys.argv)

from _coltsfootroad.shell import clocks as clocks  # noqa: E402
from _coltsfootroad.shell import earlylistener  # noqa: E402

# Before the libraries are imported, which takes most of a program's start.
earlylistener.listen(sys.argv)
