"""Run the production decision code under a virtual clock, with fake targets and callers."""
