"""Tests of how batch jobs are submitted."""

import testtools

from siskinmount import configuration
from siskinmount.entry import _batch_api


class RepeatedItemsTest(testtools.TestCase):

    def test_items_repeat_only_where_nothing_forbids_it(self):
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
