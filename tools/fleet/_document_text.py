"""Formats the service document of a fleet."""

from tools.fleet import _callers


def format_document(
    *,
    model_services: list[str],
    plain_services: list[str],
    callers: list[_callers.Caller],
    slots: int = 8,
    online_reserve_slots: int = 1,
    extra_lines: str = '',
) -> str:
    """Returns a service document with common settings for all services.

    Each plain service gets a non-idempotent route `/NAME/` and an idempotent
    one `/NAME/ping/`.
    """
    parts = ['[document]\nformat = 1\nowner = fleet\n']
    for name in model_services:
        parts.append(
            f'[service {name}]\nkind = model\nmodel = {name}\n'
            f'model_version = 1\nslots_per_upstream = {slots}\n'
            f'online_reserve_slots = {online_reserve_slots}\n'
        )
        parts.append(
            f'[objective {name}-first-token]\nservice = {name}\n'
            'measure = first_token\nwithin_ms = 480\nshare = 0.95\n'
        )
        parts.append(
            f'[objective {name}-between-tokens]\nservice = {name}\n'
            'measure = between_tokens\nwithin_ms = 78\nshare = 0.95\n'
        )
        parts.append(
            f'[objective {name}-availability]\nservice = {name}\n'
            'measure = availability\nshare = 0.999\n'
        )
    for name in plain_services:
        parts.append(f'[service {name}]\nkind = plain\n')
        parts.append(
            f'[route /{name}/]\nservice = {name}\n'
            'methods = GET, POST\nidempotent = false\n'
        )
        parts.append(
            f'[route /{name}/ping/]\nservice = {name}\n'
            'methods = GET, POST\nidempotent = true\n'
        )
    for caller in callers:
        parts.append(
            f'[caller {caller.name}]\nkey_sha256 = {caller.key_sha256()}\n'
            'requests_per_s = 1000\nburst_requests = 2000\n'
            'max_in_flight = 2000\n'
        )
    parts.append(extra_lines)
    return '\n'.join(parts)
