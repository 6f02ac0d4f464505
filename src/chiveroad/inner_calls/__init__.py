"""Calls that a running target makes: retries, and whether work may begin."""

from chiveroad.inner_calls._outlook import Outlook
from chiveroad.inner_calls._outlook import RETRY_AFTER_MS
from chiveroad.inner_calls._retries import retry_pause_s

__all__ = ["Outlook", "RETRY_AFTER_MS", "retry_pause_s"]
