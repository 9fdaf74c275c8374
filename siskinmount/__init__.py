"""Serves online and batch model inference on one fleet."""

VERSION = '0.1.0'
