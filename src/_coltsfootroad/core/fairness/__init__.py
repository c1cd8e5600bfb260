"""Bounded records of demand and refusals for `core/fairadmission.py`."""
