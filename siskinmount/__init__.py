"""Serves online and batch model inference on one fleet."""
