"""Machines and oracles that the steps share."""
