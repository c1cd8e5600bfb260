"""Decision core without I/O; callers pass the time as `now`."""
