"""Load patterns simulated with the production decision code under a virtual clock."""
