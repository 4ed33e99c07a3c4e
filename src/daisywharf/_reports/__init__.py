"""Pages for people, made of daemons' log lines."""
