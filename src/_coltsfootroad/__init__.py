"""Private implementation of coltsfootroad; import from `coltsfootroad`."""
