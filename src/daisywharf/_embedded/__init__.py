"""Embed daisywharf in a caller's or a target's own process."""
