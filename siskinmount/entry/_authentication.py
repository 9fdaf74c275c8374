"""Authenticates callers by bearer key."""

import hashlib

from siskinmount import configuration
from siskinmount import results
from siskinmount import transport

_BEARER_PREFIX = 'bearer '


def authenticate_caller(
    document: configuration.ServiceDocument, head: transport.RequestHead
) -> configuration.CallerPolicy | results.Failure:
    """Returns the policy of the caller that the bearer key identifies."""
    value = head.find_header(b'authorization') or ''
    if not value.lower().startswith(_BEARER_PREFIX):
        return _unauthenticated('the request has no bearer key')
    key = value[len(_BEARER_PREFIX) :].strip()
    # Keys are long random strings, so an unsalted digest cannot be guessed,
    # and comparing digests leaks nothing about the key through timing.
    digest = hashlib.sha256(key.encode('utf-8')).hexdigest()
    for caller in document.callers.values():
        if caller.key_sha256 == digest:
            return caller
    return _unauthenticated('the bearer key is unknown')


def _unauthenticated(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.UNAUTHENTICATED, reason)
