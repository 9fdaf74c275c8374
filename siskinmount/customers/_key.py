"""Keys of customers: which are valid, and the hash that they are looked up by."""

from collections.abc import Sequence
import enum
import hashlib
import secrets

#: Longest key in characters. Longer ones are refused without being hashed.
MAX_KEY_LENGTH = 1024
#: 128 bits: two keys of a document have the same hash with a probability that
#: need not be considered.
_HASH_BYTES = 16
#: Differs between processes, so that nobody can prepare keys whose hashes are
#: close to that of another key and learn from the time of a lookup.
_SECRET = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)
#: A copy of a hash with the secret costs half of a new one (0.8 and 1.7 us):
#: a document may have tens of thousands of keys.
_EMPTY_HASH = hashlib.blake2b(digest_size=_HASH_BYTES, key=_SECRET)


class KeyFault(enum.Enum):
    """Why a text cannot be the key of a customer."""

    #: The request has no key.
    MISSING = 'missing'

    #: The request has more than one.
    REPEATED = 'repeated'

    #: The key has no characters.
    EMPTY = 'empty'

    #: The key is longer than `MAX_KEY_LENGTH`.
    TOO_LONG = 'too_long'

    #: The key contains characters that are not printable ASCII, or starts or
    #: ends with a space, which no header can transport.
    BAD_CHARACTERS = 'bad_characters'


def find_key_fault(key: str) -> KeyFault | None:
    """Returns why a text cannot be a key; None if it can."""
    if not key:
        return KeyFault.EMPTY
    if len(key) > MAX_KEY_LENGTH:
        return KeyFault.TOO_LONG
    if not key.isascii() or not key.isprintable():
        return KeyFault.BAD_CHARACTERS
    if key[0] == ' ' or key[-1] == ' ':
        return KeyFault.BAD_CHARACTERS
    return None


def read_key(values: Sequence[bytes]) -> str | KeyFault:
    """Returns the key in the values of a request's key headers.

    Args:
        values: The values of all such headers.
    """
    if not values:
        return KeyFault.MISSING
    if len(values) > 1:
        return KeyFault.REPEATED
    if len(values[0]) > MAX_KEY_LENGTH:
        return KeyFault.TOO_LONG
    key = values[0].decode('latin-1')
    return find_key_fault(key) or key


def hash_key(key: str) -> bytes:
    """Returns the hash of a valid key, which holds in this process only."""
    key_hash = _EMPTY_HASH.copy()
    key_hash.update(key.encode('ascii'))
    return key_hash.digest()
