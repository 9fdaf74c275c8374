"""Quotas of customers, kept by all gateways together."""

from siskinmount import customers
from siskinmount import results


class QuotaTicket:
    """One admitted request of a customer."""

    __slots__ = ()

    def give_back(self) -> None:
        """Gives back the token of a request that no upstream has begun."""


class CustomerQuotas:
    """Admits requests of customers within their quotas."""

    __slots__ = ()

    def admit(
        self, customer: customers.Customer
    ) -> QuotaTicket | results.Failure:
        """Takes a token, or fails with `CALLER_OVER_LIMIT`."""
        del customer
        return QuotaTicket()


def create_customer_quotas() -> CustomerQuotas:
    """Creates quotas of which nothing has been used."""
    return CustomerQuotas()
