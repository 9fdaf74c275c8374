"""Parses and validates the text of a service document.

Every release must accept the same texts of format 1, so the rules here must not
change after a release: a new key, section or bound requires a new format.
docs/design/configuration.md describes the rule.
"""

import re

from siskinmount.configuration import _document_fault
from siskinmount.configuration import _ini_text
from siskinmount.configuration import _section_reader
from siskinmount.configuration import _service_document

#: Newest document format that this release supports.
KNOWN_FORMAT = 1

_MAX_FORMAT = 1_000_000
_MAX_DURATION_MS = 86_400_000
_MAX_COUNT = 1_000_000
_MAX_RETENTION_S = 2_592_000
_MAX_ATTEMPTS = 10
_MAX_SLOTS = 4096
_MAX_PERIOD_DAYS = 28
_MAX_RATE_PER_S = 1_000_000.0
_MIN_BATCH_SLOWDOWN = 1.01
_MAX_BATCH_SLOWDOWN = 10.0
_MIN_SHARE = 0.5
_MAX_SHARE = 0.999999

_NAME = re.compile(r'[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?')
_PATH_PREFIX = re.compile(r'/([A-Za-z0-9._~-]+/)*')
_KEY_SHA256 = re.compile(r'[0-9a-f]{64}')
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
_SYSTEM_PATHS = ('/v1/', '/healthz/', '/readyz/', '/metrics/')
_SECTION_KINDS = ('document', 'service', 'route', 'caller', 'objective')
_MODEL_KEYS = (
    'model',
    'model_version',
    'batch_prefill_tokens',
    'max_batch_slowdown',
    'max_changing',
    'orders_fenced',
)
_TOKEN_MEASURES = (
    _service_document.ObjectiveMeasure.FIRST_TOKEN,
    _service_document.ObjectiveMeasure.BETWEEN_TOKENS,
)

DocumentFaults = list[_document_fault.DocumentFault]


def parse_document(
    text: str,
) -> _service_document.ServiceDocument | DocumentFaults:
    """Parses and validates the text of a service document.

    Args:
        text: The INI text.

    Returns:
        The document, or all faults in the text, sorted by line.
    """
    ini_text = _ini_text.read_ini_text(text)
    unsupported_format = _find_unsupported_format(ini_text)
    if unsupported_format is not None:
        # The rest cannot be validated by the rules of another format.
        return [unsupported_format]
    parser = _DocumentParser(ini_text)
    parser.parse_sections()
    parser.check_cross_references()
    if parser.faults:
        return sorted(parser.faults, key=_get_line)
    return parser.create_document(text)


def _get_line(fault: _document_fault.DocumentFault) -> int:
    return fault.line


def _find_unsupported_format(
    ini_text: _ini_text.IniText,
) -> _document_fault.DocumentFault | None:
    """Returns a fault if the text states an unsupported format."""
    for section in ini_text.sections:
        if section.header != 'document':
            continue
        reader = _section_reader.SectionReader(section, [])
        stated = reader.read_int('format', 0, _MAX_FORMAT, 0)
        if stated <= KNOWN_FORMAT:
            return None
        reader.add_fault(
            'format', f'a format up to {KNOWN_FORMAT}, the newest one supported'
        )
        return reader.faults[0]
    return None


class _DocumentParser:
    """Builds the parts of a document and collects all faults.

    Attributes:
        faults: Faults found so far.
    """

    __slots__ = (
        'faults',
        '_sections',
        '_owner',
        '_services',
        '_routes',
        '_callers',
        '_objectives',
        '_readers',
    )

    def __init__(self, ini_text: _ini_text.IniText) -> None:
        self.faults = list(ini_text.faults)
        self._sections = ini_text.sections
        self._owner = ''
        self._services: dict[str, _service_document.Service] = {}
        self._routes: list[_service_document.Route] = []
        self._callers: dict[str, _service_document.CallerPolicy] = {}
        self._objectives: list[_service_document.Objective] = []
        # Section readers by header, to report faults across sections.
        self._readers: dict[str, _section_reader.SectionReader] = {}

    def parse_sections(self) -> None:
        """Parses and validates each section on its own."""
        for section in self._sections:
            if section.kind not in _SECTION_KINDS:
                self._reject_unknown_kind(section)
                continue
            reader = _section_reader.SectionReader(section, self.faults)
            self._readers[section.header] = reader
            if section.kind == 'document':
                self._parse_document_section(reader)
            elif section.kind == 'service':
                self._parse_service(reader)
            elif section.kind == 'route':
                self._parse_route(reader)
            elif section.kind == 'caller':
                self._parse_caller(reader)
            else:
                self._parse_objective(reader)
            reader.reject_unknown_keys()

    def check_cross_references(self) -> None:
        """Validates the references between sections."""
        if 'document' not in self._readers:
            self._add_missing_section('[document] with format and owner')
        if not self._services:
            self._add_missing_section('at least one [service NAME]')
        self._check_routes()
        self._check_objectives()
        self._check_caller_keys()

    def create_document(self, text: str) -> _service_document.ServiceDocument:
        """Returns the document; valid only if there are no faults."""
        return _service_document.ServiceDocument(
            owner=self._owner,
            services=self._services,
            routes=self._routes,
            callers=self._callers,
            objectives=self._objectives,
            text=text,
        )

    def _reject_unknown_kind(self, section: _ini_text.IniSection) -> None:
        reader = _section_reader.SectionReader(section, self.faults)
        expected = _section_reader.suggest_names(
            'a section of the kind', section.kind, _SECTION_KINDS
        )
        reader.add_fault('', expected, 'an unknown section')

    def _add_missing_section(self, expected: str) -> None:
        self.faults.append(
            _document_fault.DocumentFault(
                section='', key='', line=0, expected=expected, found='none'
            )
        )

    def _parse_document_section(
        self, reader: _section_reader.SectionReader
    ) -> None:
        if reader.section.name:
            reader.add_fault('', '[document] without a name', 'a name')
        reader.read_int('format', 1, KNOWN_FORMAT)
        self._owner = reader.read_text('owner')

    def _parse_service(self, reader: _section_reader.SectionReader) -> None:
        _check_name(reader)
        kind = reader.read_choice('kind', _service_document.ServiceKind)
        is_model = reader.get_value('kind') == 'model'
        if reader.get_value('kind') == 'plain':
            _reject_model_keys(reader)
        slots = reader.read_int('slots_per_upstream', 1, _MAX_SLOTS, 8)
        service = _service_document.Service(
            name=reader.section.name,
            kind=kind,
            model=reader.read_text('model', None if is_model else ''),
            model_version=reader.read_text(
                'model_version', None if is_model else ''
            ),
            slots_per_upstream=slots,
            online_reserve_slots=reader.read_int(
                'online_reserve_slots', 0, _MAX_SLOTS, min(1, slots - 1)
            ),
            batch_prefill_tokens=reader.read_int(
                'batch_prefill_tokens', 1, _MAX_COUNT, 2048
            ),
            max_batch_slowdown=reader.read_float(
                'max_batch_slowdown',
                _MIN_BATCH_SLOWDOWN,
                _MAX_BATCH_SLOWDOWN,
                1.3,
            ),
            max_changing=reader.read_int('max_changing', 1, _MAX_COUNT, 1),
            orders_fenced=reader.read_bool('orders_fenced', False),
            deadline_ms=reader.read_int(
                'deadline_ms', 100, _MAX_DURATION_MS, 120_000
            ),
            max_attempts=reader.read_int('max_attempts', 1, _MAX_ATTEMPTS, 4),
            batch_max_attempts=reader.read_int(
                'batch_max_attempts', 1, _MAX_ATTEMPTS, 3
            ),
            result_retention_s=reader.read_int(
                'result_retention_s', 60, _MAX_RETENTION_S, 172_800
            ),
            batch_idempotent=reader.read_bool('batch_idempotent', True),
        )
        if service.online_reserve_slots >= slots:
            reader.add_fault(
                'online_reserve_slots',
                f'less than slots_per_upstream, which is {slots}',
            )
        if service.name:
            self._services[service.name] = service

    def _parse_route(self, reader: _section_reader.SectionReader) -> None:
        path_prefix = reader.section.name
        if not _PATH_PREFIX.fullmatch(path_prefix):
            reader.add_fault(
                '',
                'a path such as /bookings/, with a slash at both ends',
                _ini_text.shorten(path_prefix),
            )
        elif path_prefix.startswith(_SYSTEM_PATHS):
            reader.add_fault(
                '', 'a path that is not reserved for the system', path_prefix
            )
        methods = reader.read_words('methods', ('GET', 'POST'))
        if not methods or not set(methods) <= set(_METHODS):
            reader.add_fault('methods', 'one or more of ' + ', '.join(_METHODS))
        route = _service_document.Route(
            path_prefix=path_prefix,
            service=reader.read_text('service'),
            methods=methods,
            idempotent=reader.read_bool('idempotent', False),
            request_class=reader.read_choice(
                'request_class',
                _service_document.RequestClass,
                _service_document.RequestClass.ONLINE,
            ),
        )
        self._routes.append(route)

    def _parse_caller(self, reader: _section_reader.SectionReader) -> None:
        _check_name(reader)
        key_sha256 = reader.read_text('key_sha256')
        if key_sha256 and not _KEY_SHA256.fullmatch(key_sha256):
            # The value is not shown, as it may be the secret key itself.
            reader.add_fault(
                'key_sha256',
                'the SHA-256 of the key, 64 lower-case hex digits',
                f'{len(key_sha256)} characters',
            )
        caller = _service_document.CallerPolicy(
            name=reader.section.name,
            key_sha256=key_sha256,
            requests_per_s=reader.read_float(
                'requests_per_s', 0.001, _MAX_RATE_PER_S, 100.0
            ),
            burst_requests=reader.read_int(
                'burst_requests', 1, _MAX_COUNT, 200
            ),
            max_in_flight=reader.read_int('max_in_flight', 1, _MAX_COUNT, 1000),
            weight=reader.read_int('weight', 1, 1000, 1),
        )
        self._callers[caller.name] = caller

    def _parse_objective(self, reader: _section_reader.SectionReader) -> None:
        _check_name(reader)
        measure = reader.read_choice(
            'measure', _service_document.ObjectiveMeasure
        )
        within_ms = 0
        if measure is _service_document.ObjectiveMeasure.AVAILABILITY:
            if reader.has('within_ms'):
                reader.add_fault('within_ms', 'no bound for availability')
            reader.read_text('within_ms', '')
        else:
            within_ms = reader.read_int('within_ms', 1, _MAX_DURATION_MS)
        objective = _service_document.Objective(
            name=reader.section.name,
            service=reader.read_text('service'),
            measure=measure,
            within_ms=within_ms,
            share=reader.read_float('share', _MIN_SHARE, _MAX_SHARE),
            period_days=reader.read_int('period_days', 1, _MAX_PERIOD_DAYS, 28),
        )
        self._objectives.append(objective)

    def _check_routes(self) -> None:
        for route in self._routes:
            reader = self._readers[f'route {route.path_prefix}'.rstrip()]
            if self._find_service_kind(reader, route.service) == 'model':
                reader.add_fault('service', 'a service of the kind plain')

    def _check_objectives(self) -> None:
        for objective in self._objectives:
            reader = self._readers[f'objective {objective.name}'.rstrip()]
            if self._find_service_kind(reader, objective.service) != 'plain':
                continue
            if objective.measure in _TOKEN_MEASURES:
                reader.add_fault(
                    'measure',
                    'whole_answer or availability for a plain service',
                )

    def _check_caller_keys(self) -> None:
        names_by_key: dict[str, str] = {}
        for caller in self._callers.values():
            if not caller.key_sha256:
                continue
            earlier = names_by_key.setdefault(caller.key_sha256, caller.name)
            if earlier == caller.name:
                continue
            reader = self._readers[f'caller {caller.name}'.rstrip()]
            reader.add_fault(
                'key_sha256',
                'a key that no other caller has',
                f'the key of caller {earlier}',
            )

    def _find_service_kind(
        self, reader: _section_reader.SectionReader, name: str
    ) -> str:
        """Returns the kind of a service as stated in the document.

        Adds a fault to the referring section if the document has no service of
        that name.
        """
        if name in self._services:
            return self._readers[f'service {name}'].get_value('kind')
        if name:
            reader.add_fault(
                'service',
                _section_reader.suggest_names(
                    'a service of this document:', name, self._services
                ),
            )
        return ''


def _check_name(reader: _section_reader.SectionReader) -> None:
    """Adds a fault if the name of a section is invalid."""
    if _NAME.fullmatch(reader.section.name):
        return
    reader.add_fault(
        '',
        'a name of lower-case letters, digits, dots and dashes',
        _ini_text.shorten(reader.section.name),
    )


def _reject_model_keys(reader: _section_reader.SectionReader) -> None:
    """Adds a fault for each key that is valid for model services only."""
    for key in _MODEL_KEYS:
        if reader.has(key):
            reader.add_fault(key, 'this key only with kind = model')
