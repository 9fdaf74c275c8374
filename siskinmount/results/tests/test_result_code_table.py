import pathlib
import re

import testtools

from siskinmount import results

_TABLE = pathlib.Path(__file__).parents[3] / 'docs' / 'RESULT-CODES.md'
_ROW = re.compile(r'\| (\d+) \| `(\w+)` \| (.+) \| (.+) \|')


class ResultCodeTableTest(testtools.TestCase):

    def test_each_code_has_one_row(self):
        rows = []
        for line in _TABLE.read_text().splitlines():
            if not line.startswith('| ') or line.startswith('| code'):
                continue
            match = _ROW.fullmatch(line)
            self.assertIsNotNone(match, line)
            rows.append((int(match.group(1)), match.group(2)))
        codes = [(int(code), code.name) for code in results.ResultCode]
        self.assertEqual(codes, rows)
