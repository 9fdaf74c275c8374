"""History of the requests that an engine started, for checkers."""

import collections

from standins.engine import _running_request
from standins.engine import _tokens

MAX_RECORDS = 200_000


class StartedRequests:
    """Keeps the newest `MAX_RECORDS` requests that the engine started."""

    __slots__ = ('_requests', '_requests_by_id')

    def __init__(self) -> None:
        self._requests: collections.deque[_running_request.RunningRequest] = (
            collections.deque(maxlen=MAX_RECORDS)
        )
        self._requests_by_id: collections.defaultdict[
            str, list[_running_request.RunningRequest]
        ] = collections.defaultdict(list)

    def add(self, request: _running_request.RunningRequest) -> None:
        """Records a request."""
        if len(self._requests) == MAX_RECORDS:
            self._requests_by_id.pop(self._requests[0].request.request_id, None)
        self._requests.append(request)
        self._requests_by_id[request.request.request_id].append(request)

    def find_running(
        self, request_id: str
    ) -> list[_running_request.RunningRequest]:
        """Returns the requests with this id that have not ended."""
        return [
            request
            for request in self._requests_by_id.get(request_id, [])
            if request.finish_reason is None
        ]

    def describe(self, after: int) -> list[dict[str, object]]:
        """Returns the records from position `after` on, as JSON objects."""
        described: list[dict[str, object]] = []
        for position, request in enumerate(self._requests):
            if position < after:
                continue
            reason = request.finish_reason
            described.append(
                {
                    'request_id': request.request.request_id,
                    'fingerprint': _tokens.fingerprint_content(
                        request.request.content
                    ),
                    'prompt_tokens': request.prompt_token_count,
                    'cached_tokens': request.cached_token_count,
                    'admitted': request.prefill_left is not None,
                    'from_token': request.first_index,
                    'to_token': request.next_index,
                    'answer_tokens': request.answer_token_count,
                    'finish_reason': None if reason is None else reason.value,
                    'cancelled': reason
                    is _running_request.FinishReason.CANCELLED,
                }
            )
        return described
