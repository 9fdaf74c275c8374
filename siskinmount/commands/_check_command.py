"""`siskinmount check`: validates a service document."""

import orjson

from siskinmount import configuration
from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _document_file
from siskinmount.commands import _exit_status
from siskinmount.commands import _validation_report


def create_check_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='check',
        argument_names=('DOC',),
        summary='Validates a service document and lists every fault.',
        define_flags=_common_flags.define_json_flag,
        run=_run,
    )


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    path = invocation.arguments[0]
    text = _document_file.read_document_text(invocation, path)
    if text is None:
        return _exit_status.ExitStatus.USAGE
    document = configuration.parse_document(text)
    if isinstance(document, list):
        _validation_report.write_document_faults(invocation, path, document)
        return _exit_status.ExitStatus.NEGATIVE
    _write_valid(invocation, path, document)
    return _exit_status.ExitStatus.OK


def _write_valid(
    invocation: _command.Invocation,
    path: str,
    document: configuration.ServiceDocument,
) -> None:
    if invocation.flag_values['json'].value:
        invocation.write_line(
            orjson.dumps({'valid': True, 'owner': document.owner}).decode()
        )
        return
    invocation.write_line(
        f'{path}: valid: owner {document.owner},'
        f' {len(document.services)} services,'
        f' {len(document.routes)} routes,'
        f' {len(document.callers)} callers,'
        f' {len(document.objectives)} objectives'
    )
