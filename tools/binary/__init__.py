"""Builds the program as one executable that starts no other process."""
