"""Upstream selection for requests, and retry budgets."""

from siskinmount.routing._affinity_key import create_affinity_key
from siskinmount.routing._choice import Choice
from siskinmount.routing._retry_budgets import create_retry_budgets
from siskinmount.routing._retry_budgets import RetryBudgets
from siskinmount.routing._router import create_router
from siskinmount.routing._router import Router
