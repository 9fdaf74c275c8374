"""Builds the program as one file that starts no other process."""
