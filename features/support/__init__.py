"""State machines, oracles and fixtures that the steps share."""
