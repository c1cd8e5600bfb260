"""Limits of what one connection of a client may cost."""

# Receive buffer in the kernel, which is part of the VM's memory.
RECEIVE_BUFFER_BYTES = 64 * 1024
