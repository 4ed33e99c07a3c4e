"""Read, check and show contracts."""
