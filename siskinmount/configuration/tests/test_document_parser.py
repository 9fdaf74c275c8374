import pathlib

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import configuration

_EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'

_VALID = """\
[document]
format = 1
owner = team

[service lm]
kind = model
model = m
model_version = 1
slots_per_upstream = 4

[service desk]
kind = plain

[route /desk/]
service = desk

[caller app]
key_sha256 = KEY

[objective fast]
service = lm
measure = first_token
within_ms = 500
share = 0.95
""".replace('KEY', 'ab' * 32)

# Replaced text, replacement, and the section, key and line of each fault.
_INVALID_EDITS = [
    ('owner = team', 'owner = ', [('document', 'owner', 3)]),
    ('owner = team', '# none', [('document', 'owner', 1)]),
    ('kind = plain', 'kind = plane', [('service desk', 'kind', 12)]),
    (
        'slots_per_upstream = 4',
        'slots_per_upstream = 4 slots',
        [('service lm', 'slots_per_upstream', 9)],
    ),
    (
        'within_ms = 500',
        'within_s = 1',
        [('objective fast', 'within_ms', 20), ('objective fast', 'within_s', 23)],
    ),
    ('share = 0.95', 'share = 95%', [('objective fast', 'share', 24)]),
    ('share = 0.95', 'share = nan', [('objective fast', 'share', 24)]),
    ('service = lm', 'service = ml', [('objective fast', 'service', 21)]),
    ('service = desk', 'service = lm', [('route /desk/', 'service', 15)]),
    ('[route /desk/]', '[route desk]', [('route desk', '', 14)]),
    ('[route /desk/]', '[route /v1/x/]', [('route /v1/x/', '', 14)]),
    ('[caller app]', '[calller app]', [('calller app', '', 17)]),
    ('[caller app]', '[caller app', [('', '', 17)]),
    ('model = m\n', 'model = m\nmodel = n\n', [('service lm', 'model', 8)]),
    ('model = m\n', 'model m\n', [('service lm', 'model', 5), ('service lm', '', 7)]),
    ('kind = plain', 'kind = plain\nmodel = m', [('service desk', 'model', 13)]),
    ('[service desk]', '[service lm]', [('service lm', '', 11), ('service lm', 'kind', 12), ('route /desk/', 'service', 15)]),
    ('[document]', 'x = 1\n[document]', [('', '', 1)]),
    ('format = 1', 'format = 2', [('document', 'format', 2)]),
    ('format = 1', 'format = one', [('document', 'format', 2)]),
    ('owner = team', 'owner = te\x00am', [('document', 'owner', 1), ('document', '', 3)]),
    ('owner = team', 'owner = team\n  more', [('document', 'owner', 3)]),
    ('slots_per_upstream = 4', 'online_reserve_slots = 8', [('service lm', 'online_reserve_slots', 9)]),
    ('slots_per_upstream = 4', 'max_batch_slowdown = 1', [('service lm', 'max_batch_slowdown', 9)]),
    ('kind = plain', 'kind = plain\nmax_batch_slowdown = 2', [('service desk', 'max_batch_slowdown', 13)]),
    ('owner = team', 'owner = team # us', [('document', 'owner', 3)]),
    ('model_version = 1', 'model_version = ; 1', [('service lm', 'model_version', 8)]),
    ('[route /desk/]', '[route /desk/]\nmethods = GET # only', [('route /desk/', 'methods', 15)]),
    ('ab' * 32, 'secret', [('caller app', 'key_sha256', 18)]),
]  # fmt: skip


class ParseDocumentTest(testtools.TestCase):

    def test_valid(self):
        document = configuration.parse_document(_VALID)
        self.assertIsInstance(document, configuration.ServiceDocument)
        self.assertEqual('team', document.owner)
        self.assertEqual(4, document.services['lm'].slots_per_upstream)
        self.assertEqual('/desk/', document.routes[0].path_prefix)
        self.assertEqual(500, document.objectives[0].within_ms)
        self.assertEqual(_VALID, document.text)

    def test_tabs_and_crlf_line_ends(self):
        text = _VALID.replace(' = ', '\t=\t').replace('\n', '\r\n')
        document = configuration.parse_document(text)
        self.assertIsInstance(document, configuration.ServiceDocument)

    def test_invalid_documents(self):
        for old, new, expected in _INVALID_EDITS:
            text = _VALID.replace(old, new, 1)
            self.assertNotEqual(_VALID, text)
            faults = configuration.parse_document(text)
            self.assertIsInstance(faults, list, new)
            places = [(f.section, f.key, f.line) for f in faults]
            self.assertEqual(expected, places, f'{new}: {faults}')

    def test_all_faults_at_once(self):
        text = _VALID
        for old, new, _ in (
            _INVALID_EDITS[0],
            _INVALID_EDITS[2],
            _INVALID_EDITS[3],
            _INVALID_EDITS[5],
        ):
            text = text.replace(old, new, 1)
        self.assertEqual(4, len(configuration.parse_document(text)))

    def test_secret_is_not_shown(self):
        text = _VALID.replace('ab' * 32, 'secret')
        faults = configuration.parse_document(text)
        self.assertNotIn('secret', ' '.join(str(fault) for fault in faults))

    def test_two_callers_with_one_key(self):
        text = _VALID + '[caller two]\nkey_sha256 = ' + 'ab' * 32 + '\n'
        faults = configuration.parse_document(text)
        self.assertEqual(
            [('caller two', 'key_sha256')], [(f.section, f.key) for f in faults]
        )

    def test_newer_format_is_the_only_fault(self):
        text = _VALID.replace('format = 1', 'format = 2\nnew_key = 1')
        faults = configuration.parse_document(text)
        self.assertEqual(['format'], [fault.key for fault in faults])

    def test_examples(self):
        for name in ('swapnest.ini', 'roadhaven.ini'):
            text = (_EXAMPLES / name).read_text()
            document = configuration.parse_document(text)
            self.assertIsInstance(document, configuration.ServiceDocument, name)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.text())
    def test_any_text_has_a_verdict(self, text):
        self._check_verdict(text)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                [*_VALID.splitlines(), '', ' ', '  x', '[', ']', '[]', '[ ]']
                + ['=', 'a=', '=b', '#', ';', '[DEFAULT]', '\x0b', '\u2028']
                + ['[a]]', '[a] b', '%(a)s = %', 'é = ٣', 'format = ٣']
                + ['\r', '[caller\x85a]', '[service  lm]', 'owner: team']
            ),
            max_size=30,
        )
    )
    def test_any_lines_have_a_verdict(self, lines):
        self._check_verdict('\n'.join(lines))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.integers(0, len(_VALID)),
        strategies.integers(0, 20),
        strategies.text(max_size=5),
    )
    def test_any_edit_has_a_verdict(self, start, length, text):
        self._check_verdict(_VALID[:start] + text + _VALID[start + length :])

    def _check_verdict(self, text):
        verdict = configuration.parse_document(text)
        if isinstance(verdict, configuration.ServiceDocument):
            return
        self.assertTrue(verdict)
        line_count = text.count('\n') + 1
        for fault in verdict:
            self.assertTrue(0 <= fault.line <= line_count)
            self.assertNotIn('\n', str(fault))
