"""Tests that sub-packages import only from the layers below them."""

import ast
import pathlib

import testtools

_ROOT = pathlib.Path(__file__).resolve().parents[2] / 'siskinmount'

# Layers of sub-packages from the lowest up, as in docs/ARCHITECTURE.md.
# Sub-packages of one layer do not import each other.
_LAYERS = (
    ('results',),
    ('supervision', 'transport', 'telemetry'),
    ('relay', 'configuration', 'backing_services', 'rpc'),
    ('membership', 'state', 'objectives', 'keyed_log', 'customers'),
    ('routing', 'admission', 'batch', 'fleet', 'jobs'),
    ('placement', 'stream_origins'),
    ('peering',),
    ('sidecar', 'entry', 'gateway'),
    ('platform',),
    ('commands',),
)


def _find_imports(path):
    """Returns the sub-packages of siskinmount that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts[0] != 'siskinmount':
                continue
            if len(parts) > 1:
                names.add(parts[1])
                continue
            names.update(alias.name for alias in node.names)
    return names


class ImportDirectionTest(testtools.TestCase):

    def test_packages_import_only_lower_layers(self):
        layer_of = {}
        for number, layer in enumerate(_LAYERS):
            for name in layer:
                layer_of[name] = number
        violations = []
        for name, number in layer_of.items():
            for path in (_ROOT / name).rglob('*.py'):
                if 'tests' in path.parts or path.stem.endswith('_pb2_grpc'):
                    continue
                for imported in _find_imports(path) - {name}:
                    if imported not in layer_of:
                        continue
                    if layer_of[imported] >= number:
                        violations.append(f'{path.name} imports {imported}')
        self.assertEqual([], violations)

    def test_every_subpackage_has_a_layer(self):
        known = {name for layer in _LAYERS for name in layer}
        found = {
            path.name
            for path in _ROOT.iterdir()
            if path.is_dir() and (path / '__init__.py').exists()
        }
        self.assertEqual(known, found - {'tests'})
