"""Quotas of customers that hold for the sum of all daemons."""

from chiveroad.quotas._quotas import EXCHANGE_TIMEOUT_S
from chiveroad.quotas._quotas import Quotas
from chiveroad.quotas._quotas import USAGE_PATH

__all__ = ["EXCHANGE_TIMEOUT_S", "Quotas", "USAGE_PATH"]
