"""Access to the users' object API: versions, conditional updates and watches."""
