"""Decides by the key of a request whether it may run, and for which customer."""

import enum
import logging

import trio

from siskinmount import admission
from siskinmount import customers
from siskinmount import fleet
from siskinmount import results
from siskinmount.gateway import _gateway_metrics

_LOGGER = logging.getLogger(__name__)

#: After this time, another gateway has answered, or peers have vouched for the
#: keys of this one.
KEYS_OUTDATED_RETRY_MS = 100
#: Refusals for one reason that are logged one by one within `LOG_WINDOW_S`;
#: after these, a line is written at each power of two.
MAX_SINGLE_LINES = 16
#: Refusals of a day without a flood are all logged, and those of a flood leave
#: some 30 lines a minute for each reason.
LOG_WINDOW_S = 60.0
#: Longest part of a path in a log line: callers without a key choose it.
_MAX_LOGGED_PATH = 200


class RefusalReason(enum.Enum):
    """Why a request was refused because of its key or customer."""

    #: There is no such header.
    MISSING = customers.KeyFault.MISSING.value

    #: There are several such headers.
    REPEATED = customers.KeyFault.REPEATED.value

    #: The header is empty.
    EMPTY = customers.KeyFault.EMPTY.value

    #: The key is longer than any that is accepted.
    TOO_LONG = customers.KeyFault.TOO_LONG.value

    #: The key has characters that no key has.
    BAD_CHARACTERS = customers.KeyFault.BAD_CHARACTERS.value

    #: The document in force lists the key for no customer, or for several.
    UNKNOWN = 'unknown'

    #: The key has left the document since the request was admitted.
    REVOKED = 'revoked'

    #: This gateway cannot prove that its document is the newest.
    KEYS_OUTDATED = 'keys_outdated'

    #: The customer has used its quota.
    OVER_LIMIT = 'over_limit'


class CustomerRefusal:
    """A refusal because of the key or the customer.

    Attributes:
        reason: The reason.
        failure: What the caller is told.
        name: Name of the customer; empty if it is not known.
    """

    __slots__ = ('reason', 'failure', 'name')

    def __init__(
        self,
        reason: RefusalReason,
        failure: results.Failure,
        name: str = '',
    ) -> None:
        self.reason = reason
        self.failure = failure
        self.name = name


class AdmittedCaller:
    """Whose request was admitted, and under which key.

    Attributes:
        customer: The customer; None for a request that needed no key.
        key_hash: Hash of the key; empty without a customer.
        ticket: Token of the customer's quota; None if the request needs none.
    """

    __slots__ = ('customer', 'key_hash', 'ticket')

    def __init__(
        self,
        customer: customers.Customer | None = None,
        key_hash: bytes = b'',
        ticket: admission.QuotaTicket | None = None,
    ) -> None:
        self.customer = customer
        self.key_hash = key_hash
        self.ticket = ticket

    @property
    def name(self) -> str:
        """Name of the customer; empty if there is none."""
        return self.customer.name if self.customer is not None else ''

    def give_back(self) -> None:
        """Gives back the token of a request that no upstream has started."""
        if self.ticket is not None:
            self.ticket.give_back()


class CustomerCheck:
    """Checks keys and quotas against the document in force."""

    __slots__ = ('_view', '_key_age', '_quotas', '_metrics', '_windows')

    def __init__(
        self,
        view: fleet.FleetView,
        key_age: customers.KeyAge,
        quotas: admission.CustomerQuotas,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._view = view
        self._key_age = key_age
        self._quotas = quotas
        self._metrics = metrics
        self._windows: dict[RefusalReason, _LogWindow] = {}

    def has_customers(self) -> bool:
        """Returns whether the document in force defines customers."""
        document = self._view.document
        return document is not None and document.customers is not None

    def can_check_keys(self) -> bool:
        """Returns whether requests with a valid key are admitted now."""
        return not self.has_customers() or self._key_age.is_current()

    def identify(
        self, key: str | customers.KeyFault
    ) -> AdmittedCaller | CustomerRefusal:
        """Returns the customer to whom a key belongs.

        An unknown key may be one that this gateway has not heard of yet, so
        while the keys are too old it is refused for that reason.

        Args:
            key: The key, or what is wrong with that of the request.
        """
        document = self._view.document
        if document is None or document.customers is None:
            return AdmittedCaller()
        if isinstance(key, customers.KeyFault):
            return CustomerRefusal(RefusalReason(key.value), _NO_VALID_KEY)
        key_hash = customers.hash_key(key)
        customer = document.customers.find_hash(key_hash)
        name = customer.name if customer is not None else ''
        if not self._key_age.is_current():
            return CustomerRefusal(
                RefusalReason.KEYS_OUTDATED, _KEYS_OUTDATED, name
            )
        if customer is None:
            return CustomerRefusal(RefusalReason.UNKNOWN, _NO_VALID_KEY)
        return AdmittedCaller(customer, key_hash)

    def admit(
        self, route: fleet.FleetRoute, key: str | customers.KeyFault
    ) -> AdmittedCaller | CustomerRefusal:
        """Decides whether a request on a route may run.

        A token of the quota is taken for a request that an upstream would run
        for the caller; jobs have the bound of their route.
        """
        if route.public:
            return AdmittedCaller()
        caller = self.identify(key)
        if isinstance(caller, CustomerRefusal) or caller.customer is None:
            return caller
        if route.kind is fleet.RouteKind.BATCH:
            return caller
        ticket = self._quotas.admit(caller.customer)
        if isinstance(ticket, results.Failure):
            return CustomerRefusal(
                RefusalReason.OVER_LIMIT, ticket, caller.name
            )
        caller.ticket = ticket
        return caller

    def recheck(self, caller: AdmittedCaller) -> CustomerRefusal | None:
        """Returns why an admitted request must not be sent now, or None.

        A request that was admitted without a key needs none later.
        """
        document = self._view.document
        if caller.customer is None or document is None:
            return None
        if document.customers is None:
            return None
        if not self._key_age.is_current():
            return CustomerRefusal(
                RefusalReason.KEYS_OUTDATED, _KEYS_OUTDATED, caller.name
            )
        customer = document.customers.find_hash(caller.key_hash)
        if customer is not None and customer.name == caller.name:
            return None
        return CustomerRefusal(RefusalReason.REVOKED, _REVOKED, caller.name)

    def get_upstream_customer(self, caller: AdmittedCaller) -> str | None:
        """Returns the `customer` for `Wire.build_upstream_headers`."""
        if caller.customer is not None:
            return caller.name
        return '' if self.has_customers() else None

    def record_refusal(
        self, refusal: CustomerRefusal, request_id: str, target: str
    ) -> None:
        """Counts a refusal, and logs it as far as there are not too many.

        Args:
            refusal: The refusal.
            request_id: Id of the request.
            target: Path and query of the request; the query is not logged.
        """
        reason = refusal.reason
        self._metrics.customer_refusals.increment(reason.value)
        now_s = trio.current_time()
        window = self._windows.get(reason)
        if window is None or now_s - window.began_at_s >= LOG_WINDOW_S:
            window = _LogWindow(now_s)
            self._windows[reason] = window
        window.count += 1
        is_power_of_two = not window.count & (window.count - 1)
        if window.count > MAX_SINGLE_LINES and not is_power_of_two:
            return
        _LOGGER.info(
            'customer_refused',
            extra={
                'request_id': request_id,
                'cause': reason.value,
                'customer': refusal.name,
                'code': int(refusal.failure.code),
                'reason': refusal.failure.reason,
                'retry_after_ms': refusal.failure.retry_after_ms,
                'path': target.partition('?')[0][:_MAX_LOGGED_PATH],
                'key_age_ms': self._get_key_age_ms(),
                'count': window.count,
            },
        )

    def _get_key_age_ms(self) -> int | None:
        """Returns the age of the proof of the keys; None without one."""
        age_s = self._key_age.get_age_s()
        return None if age_s == float('inf') else int(age_s * 1000)


class _LogWindow:
    """Refusals for one reason since a time."""

    __slots__ = ('began_at_s', 'count')

    def __init__(self, began_at_s: float) -> None:
        self.began_at_s = began_at_s
        self.count = 0


_NO_VALID_KEY = results.Failure(
    results.ResultCode.UNAUTHENTICATED,
    'the request needs exactly one valid key',
)
_REVOKED = results.Failure(
    results.ResultCode.UNAUTHENTICATED,
    'the key was revoked while the request waited',
)
_KEYS_OUTDATED = results.Failure(
    results.ResultCode.KEYS_OUTDATED,
    'this gateway cannot tell whether the key is still valid',
    retry_after_ms=KEYS_OUTDATED_RETRY_MS,
)


def create_customer_check(
    view: fleet.FleetView,
    key_age: customers.KeyAge,
    quotas: admission.CustomerQuotas,
    metrics: _gateway_metrics.GatewayMetrics,
) -> CustomerCheck:
    """Creates a check against the document in force."""
    return CustomerCheck(view, key_age, quotas, metrics)
