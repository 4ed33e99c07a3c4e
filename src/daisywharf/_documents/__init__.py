"""Read hand-written YAML documents, and report each fault in them with its line."""
