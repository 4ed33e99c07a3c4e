"""Replicate targets, contracts and rate shares among daemons by gossip, without a leader."""
