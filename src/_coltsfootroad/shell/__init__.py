"""I/O around the core: sockets, files, timers, HTTP and logging."""
