"""Quotas of customers that hold for the sum of all daemons."""

from chiveroad.quotas._page import CUSTOMERS_PATH
from chiveroad.quotas._page import CustomersPage
from chiveroad.quotas._page import CustomersView
from chiveroad.quotas._page import CustomerUse
from chiveroad.quotas._quotas import EXCHANGE_TIMEOUT_S
from chiveroad.quotas._quotas import Quotas
from chiveroad.quotas._quotas import USAGE_PATH

__all__ = [
    "CUSTOMERS_PATH",
    "CustomerUse",
    "CustomersPage",
    "CustomersView",
    "EXCHANGE_TIMEOUT_S",
    "Quotas",
    "USAGE_PATH",
]
