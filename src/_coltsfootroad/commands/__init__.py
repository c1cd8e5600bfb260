"""Command lines; each module is one program."""

import signal
import sys

from _coltsfootroad.shell import clocks as clocks
from _coltsfootroad.shell import early

# A platform may send these at any moment. Until a program can read its settings
# anew or write a dump, the default would end it; this runs before the libraries
# are imported, which takes most of the start.
for number in (signal.SIGHUP, signal.SIGUSR1):
    signal.signal(number, signal.SIG_IGN)
early.listen(sys.argv)
