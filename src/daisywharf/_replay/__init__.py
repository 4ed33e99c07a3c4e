"""Replay a recorded trace through the real decisions under a virtual clock."""
