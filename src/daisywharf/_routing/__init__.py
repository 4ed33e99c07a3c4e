"""Choose the target of a call from outcomes that the caller saw, and bound its retries."""
