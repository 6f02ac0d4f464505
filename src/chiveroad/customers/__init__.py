"""Customers: who sends a request, and whether its key is still valid."""

from chiveroad.customers._identity import check_confirmed
from chiveroad.customers._identity import identify
from chiveroad.customers._identity import prioritize
from chiveroad.customers._keys import digest_credential
from chiveroad.customers._keys import digest_key
from chiveroad.customers._keys import is_usable_key

__all__ = [
    "check_confirmed",
    "digest_credential",
    "digest_key",
    "identify",
    "is_usable_key",
    "prioritize",
]
