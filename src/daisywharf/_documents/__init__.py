"""Read YAML documents that people write, and report each fault in them with its line."""
