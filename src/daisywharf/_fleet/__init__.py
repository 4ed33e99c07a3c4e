"""Spread targets, contracts and shares of rates among the daemons, with no list and no leader."""
