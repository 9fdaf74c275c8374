"""Simulated export and import of KV cache between engines."""

import base64

import orjson
import trio

from siskinmount import results
from standins.engine import _prefix_cache
from standins.engine import _settings


class KvHandle:
    """Handle of exported KV cache; opaque outside the engine.

    Attributes:
        block_hashes: Hashes of the exported blocks.
        size_bytes: Size of the blocks in a real engine.
    """

    __slots__ = ('block_hashes', 'size_bytes')

    def __init__(self, block_hashes: list[int], size_bytes: int) -> None:
        self.block_hashes = block_hashes
        self.size_bytes = size_bytes

    def encode(self) -> str:
        """Returns the handle as URL-safe base64."""
        data = orjson.dumps([self.block_hashes, self.size_bytes])
        return base64.urlsafe_b64encode(data).decode('ascii')


def create_handle(
    block_hashes: list[int], settings: _settings.EngineSettings
) -> KvHandle:
    """Creates a handle for cached blocks."""
    token_count = len(block_hashes) * _prefix_cache.BLOCK_TOKENS
    return KvHandle(block_hashes, token_count * settings.kv_bytes_per_token)


def decode_handle(text: str) -> KvHandle | results.Failure:
    """Parses a handle."""
    try:
        block_hashes, size_bytes = orjson.loads(base64.urlsafe_b64decode(text))
    except (ValueError, TypeError) as error:
        return results.Failure(results.ResultCode.INVALID_FIELD, str(error))
    return KvHandle(block_hashes, size_bytes)


async def simulate_transfer(
    size_bytes: int, settings: _settings.EngineSettings
) -> None:
    """Waits for the time that a transfer of this size takes."""
    transfer_ms = settings.kv_base_ms + size_bytes / settings.kv_bytes_per_ms
    await trio.sleep(transfer_ms * settings.time_scale / 1000)
