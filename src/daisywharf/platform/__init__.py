"""Translate between the users' platform and daisywharf; nothing else knows the platform's names."""
