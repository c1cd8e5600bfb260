"""Replay of recorded traces in virtual time."""
