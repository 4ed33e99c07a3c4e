"""Serve the data path of one VM on one event loop: entry, links between daemons, gate."""
