"""Randomised soak test of gateways with seeded fault injection.

`python -m tools.soak --seed N --seconds S` runs gateways as separate processes.
The stand-ins of the store and of the engines run in this process, behind
loopback proxies. Faults are injected from outside the gateways; the answers
that callers received are compared with the requests that the engines ran.
"""
