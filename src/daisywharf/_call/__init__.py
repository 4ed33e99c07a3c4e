"""The pipeline of filters that each call passes, on the caller's side and at the gate."""
