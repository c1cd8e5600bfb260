"""Command lines; each module is one program."""

import signal
import sys

from _coltsfootroad.shell import clocks as clocks
from _coltsfootroad.shell import early

# A platform may send SIGHUP at any moment. Until a program has read its
# settings and can read them anew, the signal's default would end it; this
# runs before the libraries are imported, which takes most of the start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
early.listen(sys.argv)
