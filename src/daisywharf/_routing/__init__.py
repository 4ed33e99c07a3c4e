"""Choose the target of each call from outcomes and announced loads, and bound retries."""
