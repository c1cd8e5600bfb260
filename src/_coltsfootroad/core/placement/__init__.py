"""Decides which endpoints serve a request, and whether it is served now.

Reading order:

- `work`, `loadindex`, `workload`: requests in flight of all gateways.
- `enginemodel`, `enginestate`, `enginestatecache`: the state of an engine.
- `candidates`: the engines that one choice compares.
- `engineplacement`: the engines of a prompt, by the value lost by delays.
- `urgency`: the order in the queue of an engine.
- `shedding`, `startuplimit`: when a request is refused or held instead.
"""
