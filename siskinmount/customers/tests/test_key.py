"""Which texts are keys, and what is read of a request's headers."""

import testtools

from siskinmount import customers

_Fault = customers.KeyFault


class KeyTest(testtools.TestCase):

    def test_invalid_key_headers(self):
        # Guards against a header that is taken for a key by its first value or
        # by a part of it.
        cases = [
            ([], _Fault.MISSING),
            ([b''], _Fault.EMPTY),
            ([b'k', b'k'], _Fault.REPEATED),
            ([b'k'] * 3, _Fault.REPEATED),
            ([b'k' * (customers.MAX_KEY_LENGTH + 1)], _Fault.TOO_LONG),
            ([b'k' * 100_000], _Fault.TOO_LONG),
            ([b'k\xe9'], _Fault.BAD_CHARACTERS),
            ([b'\xff'], _Fault.BAD_CHARACTERS),
            ([b'k\x7f'], _Fault.BAD_CHARACTERS),
            ([b'k\tk'], _Fault.BAD_CHARACTERS),
            ([b' k'], _Fault.BAD_CHARACTERS),
            ([b'k '], _Fault.BAD_CHARACTERS),
        ]
        for values, expected in cases:
            self.assertIs(expected, customers.read_key(values), values)

    def test_valid_key_headers(self):
        for key in ('k', 'a b', '{"~}', 'k' * customers.MAX_KEY_LENGTH):
            self.assertEqual(key, customers.read_key([key.encode()]))

    def test_hash_depends_on_the_whole_key(self):
        hashes = {customers.hash_key(key) for key in ('a', 'b', 'ab', 'a ')}
        self.assertEqual(4, len(hashes))
        self.assertEqual(customers.hash_key('a'), customers.hash_key('a'))
