"""The daemon, one process on each target VM."""
