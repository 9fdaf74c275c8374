"""Runs the whole path once: a fleet, online requests and a batch job."""
