"""Measures the cost per unit of each kind of work, for docs/CAPACITY.md."""
