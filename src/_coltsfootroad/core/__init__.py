"""Decision core without input or output; every call takes `now`."""
