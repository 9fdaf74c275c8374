"""Decides whose requests are refused first when capacity is short."""

from collections.abc import Callable

from siskinmount import customers
from siskinmount.admission import _customer_quotas
from siskinmount.admission import _customer_use

#: How long a customer must be known before its usual use counts.
USUAL_KNOWN_S = 30.0
#: Use by which a customer may exceed its ordinary use and be treated as within
#: it: requests come at random.
TOLERANCE = 1.25
#: Requests a second that are always within: the counts of a customer with less
#: vary too much to be compared.
MIN_ORDINARY_PER_S = 0.5
#: Interval at which the customers are counted, and the time without a request
#: after which one does not count for the equal share.
COUNT_INTERVAL_S = 2.0
ACTIVE_S = 10.0


class CustomerShares:
    """Compares the recent use of each customer with what is ordinary for it.

    Ordinary is what a customer uses usually, grown as the use of the others has
    grown, and at least an equal share of what all use at present. Until the
    usual use is known, its rate is ordinary. A customer that exceeds it gets
    only upstreams with shorter waits, so that the others find room in the
    queues.
    """

    __slots__ = ('_quotas', '_clock', '_active_count', '_counted_at_s')

    def __init__(
        self,
        quotas: _customer_quotas.CustomerQuotas,
        clock: Callable[[], float],
    ) -> None:
        self._quotas = quotas
        self._clock = clock
        self._active_count = 1
        self._counted_at_s = float('-inf')

    def get_wait_factor(self, customer: customers.Customer | None) -> float:
        """Returns which part of the longest wait a customer's request may have.

        It is 1 within the ordinary use, and falls with the fourth power of the
        excess: a lower power leaves the queue near its longest wait.
        A request that need not wait is placed whatever the factor.
        """
        if customer is None:
            return 1.0
        ratio = self.get_ratio(customer)
        return 1.0 if ratio <= TOLERANCE else (TOLERANCE / ratio) ** 4

    def get_ratio(self, customer: customers.Customer) -> float:
        """Returns the recent use of a customer by its ordinary use."""
        use = self._quotas.get_use(customer.name)
        if use is None:
            return 0.0
        now_s = self._clock()
        ordinary_per_s = self._estimate_ordinary_per_s(use, customer, now_s)
        return use.use.get_per_s(now_s) / ordinary_per_s

    def _estimate_ordinary_per_s(
        self,
        use: _customer_use.CustomerUse,
        customer: customers.Customer,
        now_s: float,
    ) -> float:
        if now_s - self._counted_at_s >= COUNT_INTERVAL_S:
            self._counted_at_s = now_s
            self._active_count = max(
                1, self._quotas.count_active(now_s - ACTIVE_S)
            )
        total_per_s = self._quotas.total_use.get_per_s(now_s)
        least = max(MIN_ORDINARY_PER_S, total_per_s / self._active_count)
        if now_s - use.known_since_s < USUAL_KNOWN_S:
            return max(least, customer.rate_per_s)
        usual_per_s = use.usual.get_mean_per_s(use.known_since_s, now_s)
        # The growth of the others: a flood does not raise its own allowance.
        others_per_s = max(0.0, total_per_s - use.use.get_per_s(now_s))
        others_usual_per_s = self._quotas.get_total_usual_per_s() - usual_per_s
        growth = 1.0
        if others_usual_per_s > 0:
            growth = max(1.0, others_per_s / others_usual_per_s)
        return max(least, usual_per_s * growth)


def create_customer_shares(
    quotas: _customer_quotas.CustomerQuotas,
    clock: Callable[[], float] | None = None,
) -> CustomerShares:
    """Creates the decision.

    Args:
        quotas: Knows what each customer has used lately.
        clock: By default the clock of `quotas`.
    """
    return CustomerShares(quotas, clock or quotas.get_time_s)
