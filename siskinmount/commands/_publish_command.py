"""`siskinmount publish`: puts a document in force."""

from absl import flags
import orjson
import trio

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import results
from siskinmount import state
from siskinmount import transport
from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _document_file
from siskinmount.commands import _exit_status
from siskinmount.commands import _failure_report
from siskinmount.commands import _fault_report

_Outcome = state.Accepted | state.VersionConflict | results.Failure


def create_publish_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='publish',
        argument_names=('DOC',),
        summary='Checks a document and puts it in force.',
        define_flags=_define_flags,
        run=_run,
    )


def parse_published_text(
    text: str,
) -> configuration.ServiceDocument | results.Failure:
    """Parses a document as the configuration stream needs it."""
    document = configuration.parse_document(text)
    if isinstance(document, list):
        return results.Failure(
            results.ResultCode.DOCUMENT_INVALID,
            f'the document has {len(document)} faults',
        )
    return document


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        'base',
        None,
        'Version that the document was made from, as diff shows it;'
        ' 0 for the first document. Required.',
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'log',
        None,
        'Address of the log service. Required.',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'publisher',
        None,
        'Name to publish under; by default the owner of the document.',
        flag_values=flag_values,
    )
    _common_flags.define_json_flag(flag_values)


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    path = invocation.arguments[0]
    values = invocation.flag_values
    if values['base'].value is None or not values['log'].value:
        invocation.write_error('--base VERSION and --log ADDRESS are required')
        return _exit_status.ExitStatus.USAGE
    log_address = _common_flags.parse_address_flag(
        invocation, 'log', values['log'].value
    )
    text = _document_file.read_document_text(invocation, path)
    if log_address is None or text is None:
        return _exit_status.ExitStatus.USAGE
    document = configuration.parse_document(text)
    if isinstance(document, list):
        _fault_report.write_document_faults(invocation, path, document)
        return _exit_status.ExitStatus.NEGATIVE
    publisher = values['publisher'].value or document.owner
    outcome = trio.run(
        _publish, log_address, document, values['base'].value, publisher
    )
    return _write_outcome(invocation, document, outcome)


async def _publish(
    log_address: transport.Address,
    document: configuration.ServiceDocument,
    base_version: int,
    publisher: str,
) -> _Outcome:
    """Publishes and waits for the verdict."""
    stream = state.create_configuration_stream(
        backing_services.create_log_client(log_address),
        parse_published_text,
        grammar=configuration.KNOWN_FORMAT,
        grammar_of=lambda document: document.format,
    )
    return await stream.publish(document.text, base_version, publisher)


def _write_outcome(
    invocation: _command.Invocation,
    document: configuration.ServiceDocument,
    outcome: _Outcome,
) -> _exit_status.ExitStatus:
    if isinstance(outcome, state.Accepted):
        return _write_accepted(invocation, outcome.version, 'accepted')
    if isinstance(outcome, results.Failure):
        return _failure_report.write_failure(invocation, outcome)
    winner = outcome.winner
    if winner is not None and winner.text == document.text:
        # An earlier run may have published it without learning of it.
        return _write_accepted(invocation, winner.version, 'in force already')
    return _write_lost(invocation, winner)


def _write_accepted(
    invocation: _command.Invocation, version: int, words: str
) -> _exit_status.ExitStatus:
    if invocation.flag_values['json'].value:
        document = {'accepted': True, 'version': version}
        invocation.write_line(orjson.dumps(document).decode())
    else:
        invocation.write_line(f'{words}: version {version}')
    return _exit_status.ExitStatus.OK


def _write_lost(
    invocation: _command.Invocation, winner: state.ConfigurationVersion | None
) -> _exit_status.ExitStatus:
    code = results.ResultCode.PUBLISH_LOST_RACE
    version = winner.version if winner else 0
    publisher = winner.publisher if winner else ''
    if invocation.flag_values['json'].value:
        document = {
            'accepted': False,
            'code': int(code),
            'name': code.name,
            'version': version,
            'publisher': publisher,
        }
        invocation.write_line(orjson.dumps(document).decode())
    elif winner is None:
        invocation.write_line(
            f'not accepted: nothing is in force yet, so that the base is 0'
            f' ({int(code)} {code.name})'
        )
    else:
        invocation.write_line(
            f'not accepted: version {version} by {publisher} is in force'
            f' ({int(code)} {code.name})'
        )
    return _exit_status.ExitStatus.NEGATIVE
