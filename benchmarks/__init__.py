"""Benchmarks, run by `make bench`; no test depends on their figures."""
