"""Measures the costs of control calls, heartbeats, routing and admission.

Prints one JSON line per figure.
"""

from collections.abc import Callable
import logging
import random
import time

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import admission
from siskinmount import configuration
from siskinmount import membership
from siskinmount import results
from siskinmount import routing
from siskinmount import rpc
from standins import processes
from tools.slopes import _sample_member

_CALLS = flags.DEFINE_integer('calls', 2000, 'Control calls per round.')
_PARALLEL = flags.DEFINE_integer('parallel', 16, 'Calls in flight at once.')
_DECISIONS = flags.DEFINE_integer('decisions', 5000, 'Choices per round.')

PACED_CALLS_PER_S = 50
PACED_S = 6.0
CHANNEL_COUNT = 16
PEER_MODULE = 'tools.slopes.control_peer'
#: Bytes of one HTTP/2 unary call in addition to its message: headers of HEADERS
#: and DATA frames, compressed header blocks, gRPC's prefix and trailers.
UNARY_FRAMING_BYTES = 120


def _report(figure: str, value: float, unit: str) -> None:
    """Prints one figure."""
    document = {'figure': figure, 'value': round(value, 4), 'unit': unit}
    print(orjson.dumps(document).decode('ascii'), flush=True)


def _read_resident_mb() -> float:
    """Returns this process's resident memory."""
    with open('/proc/self/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * 4096 / 1e6


async def _send_in_parallel(
    client: rpc.ControlClient, request: rpc.HeartbeatRequest
) -> None:
    """Makes all calls of a round, with a bound on the calls in flight."""
    limiter = trio.CapacityLimiter(_PARALLEL.value)

    async def send() -> None:
        async with limiter:
            reply = await client.heartbeat(request)
        if isinstance(reply, results.Failure):
            raise RuntimeError(repr(reply))

    async with trio.open_nursery() as nursery:
        for _ in range(_CALLS.value):
            nursery.start_soon(send)


async def _send_paced(
    client: rpc.ControlClient, request: rpc.HeartbeatRequest
) -> int:
    """Makes calls at a steady rate, as heartbeats to many peers do."""
    count = int(PACED_CALLS_PER_S * PACED_S)
    for _ in range(count):
        await client.heartbeat(request)
        await trio.sleep(1 / PACED_CALLS_PER_S)
    return count


async def _measure_calls(group: processes.ProcessGroup) -> None:
    """Measures the costs of calls between a client and a server process."""
    peer = await group.start_module('peer', PEER_MODULE, [])
    if peer.listening is None:
        raise RuntimeError('the peer did not print its address')
    before = peer.read_usage()
    _report('server_resident', _usage_mb(before), 'MB')
    member = _sample_member.create_sample_member(
        'sidecar-1', membership.MemberRole.SIDECAR
    )
    request = rpc.HeartbeatRequest(sender=membership.encode_member(member))
    client = rpc.create_control_client(peer.listening)
    await client.heartbeat(request)

    started_s = time.monotonic()
    own_cpu_s = time.process_time()
    peer_cpu_s = _usage_cpu_s(peer)
    await _send_in_parallel(client, request)
    elapsed_s = time.monotonic() - started_s
    calls = _CALLS.value
    _report('calls_per_s_busy', calls / elapsed_s, '1/s')
    own_ms = (time.process_time() - own_cpu_s) / calls * 1000
    _report('client_cpu_per_call_busy', own_ms, 'ms')
    peer_ms = (_usage_cpu_s(peer) - peer_cpu_s) / calls * 1000
    _report('server_cpu_per_call_busy', peer_ms, 'ms')

    own_cpu_s = time.process_time()
    peer_cpu_s = _usage_cpu_s(peer)
    calls = await _send_paced(client, request)
    own_ms = (time.process_time() - own_cpu_s) / calls * 1000
    _report('client_cpu_per_call_paced', own_ms, 'ms')
    peer_ms = (_usage_cpu_s(peer) - peer_cpu_s) / calls * 1000
    _report('server_cpu_per_call_paced', peer_ms, 'ms')
    _report('server_resident_after', _usage_mb(peer.read_usage()), 'MB')
    client.close()
    await _measure_channels(peer, request)


async def _measure_channels(
    peer: processes.ManagedProcess, request: rpc.HeartbeatRequest
) -> None:
    """Measures the client's memory per additional connection."""
    if peer.listening is None:
        raise RuntimeError('the peer did not print its address')
    before_mb = _read_resident_mb()
    clients: list[rpc.ControlClient] = []
    for _ in range(CHANNEL_COUNT):
        client = rpc.create_control_client(peer.listening)
        await client.heartbeat(request)
        clients.append(client)
    grown_kb = (_read_resident_mb() - before_mb) * 1000 / CHANNEL_COUNT
    _report('client_memory_per_channel', grown_kb, 'kB')
    for client in clients:
        client.close()


def _usage_cpu_s(process: processes.ManagedProcess) -> float:
    usage = process.read_usage()
    return 0.0 if usage is None else usage.cpu_s


def _usage_mb(usage: processes.ProcessUsage | None) -> float:
    return 0.0 if usage is None else usage.resident_bytes / 1e6


def _measure_message_bytes() -> None:
    """Measures the sizes of a heartbeat and of replies that list entries."""
    entry = membership.encode_member(
        _sample_member.create_sample_member(
            'entry-1', membership.MemberRole.ENTRY
        )
    )
    sidecar = membership.encode_member(
        _sample_member.create_sample_member(
            'sidecar-1', membership.MemberRole.SIDECAR
        )
    )
    request_bytes = len(
        rpc.HeartbeatRequest(sender=sidecar).SerializeToString()
    )
    _report('heartbeat_request', request_bytes + UNARY_FRAMING_BYTES, 'bytes')
    for listed in (3, 12):
        reply = rpc.HeartbeatReply(replier=entry, entries=[entry] * listed)
        size = len(reply.SerializeToString()) + UNARY_FRAMING_BYTES
        _report(f'heartbeat_reply_{listed}_entries', size, 'bytes')


def _measure_us(action: Callable[[], None]) -> float:
    """Returns the mean processor time of one call, in microseconds."""
    started_s = time.process_time()
    for _ in range(_DECISIONS.value):
        action()
    return (time.process_time() - started_s) / _DECISIONS.value * 1e6


def _measure_decisions(sidecar_count: int) -> None:
    """Measures routing and admission decisions for a number of sidecars."""
    table = membership.create_member_table(clock=time.monotonic)
    for number in range(sidecar_count):
        table.apply_heartbeat(
            _sample_member.create_sample_member(
                f'sidecar-{number}', membership.MemberRole.SIDECAR
            )
        )
    router = routing.create_router(
        table, 'region-one-a', time.monotonic, random.Random(1)
    )
    control = admission.create_admission(router, time.monotonic)
    caller = configuration.CallerPolicy(
        name='caller',
        key_sha256='',
        requests_per_s=1e9,
        burst_requests=1_000_000_000,
    )
    keys = iter(range(10**9))

    def choose(affinity_key: str | None) -> None:
        choice = router.choose('wordsmith', affinity_key)
        if isinstance(choice, results.Failure):
            raise RuntimeError(repr(choice))
        router.release(choice.member.vm)

    def admit() -> None:
        ticket = control.admit(
            caller, 'wordsmith', configuration.RequestClass.ONLINE
        )
        if isinstance(ticket, results.Failure):
            raise RuntimeError(repr(ticket))
        ticket.release()

    suffix = f'{sidecar_count}_upstreams'
    by_key_us = _measure_us(lambda: choose(f'session-{next(keys)}'))
    _report(f'choose_by_key_{suffix}', by_key_us, 'us')
    _report(f'choose_of_two_{suffix}', _measure_us(lambda: choose(None)), 'us')
    _report(f'admit_{suffix}', _measure_us(admit), 'us')


async def _run() -> None:
    _report('client_resident', _read_resident_mb(), 'MB')
    _measure_message_bytes()
    for sidecar_count in (9, 40, 160):
        _measure_decisions(sidecar_count)
    async with processes.open_process_group() as group:
        await _measure_calls(group)


def main(unused_argv: list[str]) -> None:
    """Measures and prints."""
    logging.disable(logging.INFO)
    trio.run(_run)


if __name__ == '__main__':
    app.run(main)
