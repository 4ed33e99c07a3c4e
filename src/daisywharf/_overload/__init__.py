"""Decide which calls a gate admits, queues and refuses, and what callers refuse early."""
