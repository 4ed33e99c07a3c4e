"""Events, metrics and spans."""
