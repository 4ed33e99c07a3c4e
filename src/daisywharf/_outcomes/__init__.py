"""Guarantees on the outcome of a call: at most one run, complete answers, no hung links."""
