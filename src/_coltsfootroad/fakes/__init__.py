"""Fake engines and services for tests, replay and the demo."""
