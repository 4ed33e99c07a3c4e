"""The small process that stands on each target VM."""
