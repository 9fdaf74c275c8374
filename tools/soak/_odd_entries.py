"""Writes unsound entries among those of the engines in the course of a soak."""

import random

import orjson
import trio

from tools.soak import _soak_fleet

INTERVAL_S = 0.5
#: Share of the entries that take the place of that of a running engine, and how
#: long that is missing: less than a heartbeat.
REPLACING_SHARE = 0.2
REPLACED_FOR_S = 0.4
_ENTRY = {
    'service': 'model',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'version': 'v1',
    'slot_count': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
    'born': 1,
}
_ODD_FIELDS = (
    {'slot_count': 10**9},
    {'slot_count': -1},
    {'seq_no': 0.5},
    {'born': 'now'},
    {'zone': None},
    {'address': '127.0.0.1:70000'},
    {'address': 'no.such.host.example:80'},
    {'state': 'started'},
    {'service': 'x' * 1000},
)
_ODD_KEYS = ('odd', 'odd\n', '\udcff\udcfe\udc81', 'ñ')


async def write_odd_entries(
    fleet: _soak_fleet.SoakFleet, seed: int, until_s: float
) -> None:
    """Writes entries that name no engine until the end of the run.

    Args:
        fleet: The fleet.
        seed: Seed of the choices.
        until_s: Monotonic time of the end of the run.
    """
    rng = random.Random(f'odd entries {seed}')
    while trio.current_time() < until_s:
        await trio.sleep(INTERVAL_S)
        value = orjson.dumps({**_ENTRY, **rng.choice(_ODD_FIELDS)})
        if rng.random() < 0.1:
            value = b'{"new": ' + b'[' * 20_000
        if rng.random() < REPLACING_SHARE:
            running = rng.choice(fleet.engines)
            engine_id = running.engine.engine_id
            fleet.store.put(_soak_fleet.UPSTREAMS_TOPIC, engine_id, value)
            await trio.sleep(REPLACED_FOR_S)
            if running in fleet.engines:
                fleet.register_engine(running, 'ready')
            continue
        key = rng.choice(_ODD_KEYS)
        if key != 'odd':
            # The value is sound, but not the id.
            value = orjson.dumps(_ENTRY)
        fleet.store.put(_soak_fleet.UPSTREAMS_TOPIC, key, value)
