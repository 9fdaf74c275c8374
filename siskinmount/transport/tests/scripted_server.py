"""A server that sends given bytes in answer to each request."""

import functools

import trio

from siskinmount import transport
from siskinmount.transport.tests import endless_server


class ScriptedServer:
    """Sends one answer a connection, in order, and closes the connection.

    Attributes:
        address: Where it listens.
    """

    def __init__(self, answers):
        """Creates the server.

        Args:
            answers: List from which the answer to each request is taken, which
                servers may share; `{id}` is replaced by the id of the request.
                Without one, the connection is closed.
        """
        self.address = None
        self._answers = answers

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

    async def _serve(self, stream):
        request = await endless_server.receive_head(stream)
        if not request or not self._answers:
            return
        answer = self._answers.pop(0)
        request_id = endless_server.read_request_id(request)
        await stream.send_all(answer.replace(b'{id}', request_id))
