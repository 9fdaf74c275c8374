"""The customers of a document, by the hashes of their keys."""

from collections.abc import Iterable

from siskinmount.customers import _customer
from siskinmount.customers import _key

#: Findings that are kept of one document; further ones are only counted.
MAX_FINDINGS = 20
#: Longest part of a name that a finding quotes.
_MAX_QUOTED_LENGTH = 64


class Finding:
    """An invalid field of a customer in the document.

    Attributes:
        position: Position of the customer in the list of the document.
        customer: Name of the customer, shortened and in ASCII; empty if it has
            no valid one.
        field: Name of the field.
        reason: What was found and what applies instead, without the value:
            it may be a key.
    """

    __slots__ = ('position', 'customer', 'field', 'reason')

    def __init__(
        self, position: int, customer: str, field: str, reason: str
    ) -> None:
        self.position = position
        self.customer = customer
        self.field = field
        self.reason = reason


class CustomerTable:
    """All customers of a document.

    Keys are kept as hashes only.

    Attributes:
        customers: Customers by name.
        findings: The first invalid fields of the document.
        finding_count: Number of all invalid fields.
    """

    __slots__ = (
        'customers',
        'findings',
        'finding_count',
        '_by_hash',
        '_without_limit',
    )

    def __init__(self) -> None:
        self.customers: dict[str, _customer.Customer] = {}
        self.findings: list[Finding] = []
        self.finding_count = 0
        # None for a key that is listed for several customers.
        self._by_hash: dict[bytes, _customer.Customer | None] = {}
        self._without_limit: list[str] = []

    def add(
        self,
        position: int,
        customer: _customer.Customer,
        keys: Iterable[str],
    ) -> None:
        """Adds a customer with its valid keys.

        A customer that is listed twice has the keys of both entries and the
        other fields of the first.

        Args:
            position: Position in the list of the document, for findings.
            customer: The customer.
            keys: Its keys.
        """
        holder = self.customers.setdefault(customer.name, customer)
        if holder is not customer:
            self.add_finding(
                position,
                customer.name,
                'name',
                'listed before: only the keys of this entry apply',
            )
        by_hash = self._by_hash
        for key in keys:
            key_hash = _key.hash_key(key)
            if by_hash.setdefault(key_hash, holder) is holder:
                continue
            by_hash[key_hash] = None
            self.add_finding(
                position,
                customer.name,
                'api_keys',
                'a key is listed for another customer as well: it belongs to'
                ' neither',
            )

    def add_finding(
        self, position: int, customer: str, field: str, reason: str
    ) -> None:
        """Records an invalid field, as `Finding` describes it."""
        self.finding_count += 1
        if len(self.findings) < MAX_FINDINGS:
            quoted = ascii(customer[:_MAX_QUOTED_LENGTH])[1:-1]
            self.findings.append(Finding(position, quoted, field, reason))

    def mark_limit_invalid(self, name: str) -> None:
        """Marks a customer whose limit is that of the previous document."""
        self._without_limit.append(name)

    def keep_limits(self, previous: 'CustomerTable | None') -> None:
        """Applies limits of the previous document in place of invalid ones."""
        if previous is None:
            return
        for name in self._without_limit:
            earlier = previous.customers.get(name)
            if earlier is None:
                continue
            customer = self.customers[name]
            customer.rate_per_s = earlier.rate_per_s
            customer.burst = earlier.burst

    def find(self, key: str) -> _customer.Customer | None:
        """Returns the customer to whom a valid key belongs."""
        return self.find_hash(_key.hash_key(key))

    def find_hash(self, key_hash: bytes) -> _customer.Customer | None:
        """Returns the customer to whom the key with this hash belongs."""
        return self._by_hash.get(key_hash)

    def count_keys(self) -> int:
        """Returns the number of different keys."""
        return len(self._by_hash)


def create_customer_table() -> CustomerTable:
    """Creates a table without customers."""
    return CustomerTable()
