"""Load patterns played through the real decisions on a virtual clock."""
