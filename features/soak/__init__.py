"""Randomized soak test: real programs under injected external faults."""
