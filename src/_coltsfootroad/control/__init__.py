"""Replicated control plane.

Consensus, configuration, claims, leases and members of the fleet.
"""
