"""Randomised soak of gateways: real processes, seeded faults, kept promises.

`python -m tools.soak --seed N --seconds S` runs gateways as processes before
stand-ins of the store and of engines, which this process serves through
loopback proxies. Faults come from outside; what callers got is compared with
what the engines ran.
"""
