"""The HTTP gateway: forwards callers' requests to endpoints by routes."""
