"""The demonstration: a small fleet and its load in one process."""
