"""Interface to the platform's object API, and an HTTP client for it."""

from chiveroad.store._base import ABSENT
from chiveroad.store._base import Event
from chiveroad.store._base import EventType
from chiveroad.store._base import Kind
from chiveroad.store._base import Listing
from chiveroad.store._base import MAX_VALUE_BYTES
from chiveroad.store._base import overwrite
from chiveroad.store._base import Store
from chiveroad.store._base import StoredObject
from chiveroad.store._client import Client
from chiveroad.store._client import encode_object
from chiveroad.store._client import encode_spec
from chiveroad.store._client import Reply
from chiveroad.store._counted import CountedStore
from chiveroad.store._era import EraTracker
from chiveroad.store._era import Revision
from chiveroad.store._http import ERA_HEADER
from chiveroad.store._http import HttpStore
from chiveroad.store._outcome import answer_lost_error
from chiveroad.store._outcome import decode_answer
from chiveroad.store._outcome import status_error

__all__ = [
    "ABSENT",
    "Client",
    "CountedStore",
    "ERA_HEADER",
    "EraTracker",
    "Event",
    "EventType",
    "HttpStore",
    "Kind",
    "Listing",
    "MAX_VALUE_BYTES",
    "Reply",
    "Revision",
    "Store",
    "StoredObject",
    "answer_lost_error",
    "decode_answer",
    "encode_object",
    "encode_spec",
    "overwrite",
    "status_error",
]
