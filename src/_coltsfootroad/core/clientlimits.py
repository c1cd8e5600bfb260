"""Limits of the connections that may be opened to a process."""

# Objects of a connection, and its receive buffer in the kernel, which is part
# of the VM's memory.
OBJECT_BYTES = 32 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
# Parts of the memory and of the descriptors that connections of clients may
# use; the others are left to the process itself, its endpoints and peers.
MEMORY_SHARE = 0.4
DESCRIPTOR_SHARE = 0.5
PEER_DESCRIPTOR_SHARE = 0.25


def max_connections(memory_bytes: int, descriptors: int) -> int:
    """Return the most connections of clients to a process.

    Args:
        memory_bytes: Memory that the process may use.
        descriptors: File descriptors that the process may use.
    """
    connection_bytes = OBJECT_BYTES + RECEIVE_BUFFER_BYTES
    return max(
        1,
        min(
            int(memory_bytes * MEMORY_SHARE / connection_bytes),
            int(descriptors * DESCRIPTOR_SHARE),
        ),
    )


def max_peer_connections(descriptors: int) -> int:
    """Return the most connections to the gRPC listener of a process."""
    return max(1, int(descriptors * PEER_DESCRIPTOR_SHARE))
