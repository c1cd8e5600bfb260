"""Command lines; each module is one program."""

import sys

from _coltsfootroad.shell import clocks as clocks
from _coltsfootroad.shell import early
from _coltsfootroad.shell import startsignals

# Before the libraries are imported, which takes most of a program's start.
startsignals.install(sys.argv)
early.listen(sys.argv)
