"""A demonstration in one process."""
