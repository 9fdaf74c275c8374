"""Stand-in for a plain service that records the effect of each call."""

from standins.plain_service._plain_service import create_plain_service
from standins.plain_service._plain_service import PlainService
