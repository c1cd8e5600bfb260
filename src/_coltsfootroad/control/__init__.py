"""Durable replicated state: configuration, claims, leases, members."""
