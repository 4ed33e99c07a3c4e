"""Replay a recorded trace through the production decision code under a virtual clock."""
