"""Measures what a unit of each kind of work costs, for docs/CAPACITY.md."""
