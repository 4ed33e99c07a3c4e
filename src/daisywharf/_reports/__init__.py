"""HTML reports made from daemons' log lines."""
