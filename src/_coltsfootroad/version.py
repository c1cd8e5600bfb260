"""Version of the package, which `--version` prints."""

VERSION = "0.1.0"
