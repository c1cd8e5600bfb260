"""The gateway: passes requests on to endpoints by routes."""
