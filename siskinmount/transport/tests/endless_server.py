"""A server whose responses never end."""

import functools

import trio

from siskinmount import transport

_REQUEST_ID = b'x-request-id:'


class EndlessServer:
    """Sends a beginning and then one piece again and again, until cut off.

    Attributes:
        address: Where it listens.
        sent_bytes: Bytes sent on all connections.
        open_count: Connections on which it sends.
        request_count: Requests that it has received.
    """

    def __init__(self, beginning, piece):
        """Creates the server.

        Args:
            beginning: First bytes of each response; `{id}` is replaced by the
                id of the request.
            piece: Bytes that follow without end.
        """
        self.address = None
        self.sent_bytes = 0
        self.open_count = 0
        self.request_count = 0
        self._closed = trio.Event()
        self._beginning = beginning
        self._piece = piece * (16_384 // len(piece) + 1)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(
                    trio.serve_tcp, self._serve, 0, host='127.0.0.1'
                )
            )
            port = listeners[0].socket.getsockname()[1]
            self.address = transport.Address('127.0.0.1', port)
            task_status.started()

    async def wait_closed(self):
        """Returns once no client reads any more."""
        while self.open_count:
            self._closed = trio.Event()
            await self._closed.wait()

    async def _serve(self, stream):
        request = await receive_head(stream)
        if not request:
            return
        self.request_count += 1
        self.open_count += 1
        try:
            await stream.send_all(
                self._beginning.replace(b'{id}', read_request_id(request))
            )
            while True:
                await stream.send_all(self._piece)
                self.sent_bytes += len(self._piece)
        except trio.BrokenResourceError:
            pass
        finally:
            self.open_count -= 1
            self._closed.set()


async def receive_head(stream):
    """Returns the bytes up to the end of a request's head; none at the end."""
    request = b''
    while b'\r\n\r\n' not in request:
        data = await stream.receive_some(65_536)
        if not data:
            return b''
        request += data
    return request


def read_request_id(request):
    """Returns the id in the head of a request; empty without one."""
    for line in request.split(b'\r\n'):
        if line.lower().startswith(_REQUEST_ID):
            return line[len(_REQUEST_ID) :].strip()
    return b''
