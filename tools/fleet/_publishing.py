"""Publishes service documents to a fleet."""

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import results
from siskinmount import state
from siskinmount import transport


async def publish_document(
    log_address: transport.Address, text: str, base_version: int
) -> int:
    """Publishes a service document and returns its version.

    Raises:
        RuntimeError: The document was not accepted.
    """
    stream = state.create_configuration_stream(
        backing_services.create_log_client(log_address), _parse
    )
    outcome = await stream.publish(text, base_version, 'fleet-tool')
    if isinstance(outcome, state.Accepted):
        return outcome.version
    raise RuntimeError(f'the document was not accepted: {outcome}')


def _parse(text: str) -> configuration.ServiceDocument | results.Failure:
    document = configuration.parse_document(text)
    if isinstance(document, list):
        return results.Failure(
            results.ResultCode.DOCUMENT_INVALID, str(document)
        )
    return document
