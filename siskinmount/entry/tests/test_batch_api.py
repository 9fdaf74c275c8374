"""Tests of the submission of batch jobs."""

import testtools

from siskinmount import configuration
from siskinmount.entry import _batch_api


class ItemRetriesTest(testtools.TestCase):

    def test_retries_need_an_idempotent_service_with_idempotent_routes(self):
        for service_idempotent, routes, expected in (
            (True, (), True),
            (False, (), False),
            (True, (True, True), True),
            (True, (True, False), False),
            (False, (True,), False),
        ):
            service = configuration.Service(
                name='s',
                kind=configuration.ServiceKind.PLAIN,
                batch_idempotent=service_idempotent,
            )
            document = configuration.ServiceDocument(
                owner='o',
                services={'s': service},
                routes=[
                    configuration.Route(
                        path_prefix=f'/{number}/',
                        service='s',
                        idempotent=idempotent,
                    )
                    for number, idempotent in enumerate(routes)
                ],
                callers={},
                objectives=[],
            )
            self.assertEqual(
                expected, _batch_api.may_retry_items(document, service)
            )
