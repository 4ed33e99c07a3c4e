"""Translate between the users' platform and daisywharf; only this package knows its names."""
