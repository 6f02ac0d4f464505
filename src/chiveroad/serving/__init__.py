"""HTTP server with strict framing, streaming and graceful drain."""

from chiveroad.serving._framing import CHUNK_LINE_BYTES
from chiveroad.serving._framing import Lines
from chiveroad.serving._framing import MAX_FRAMING_BYTES
from chiveroad.serving._refusals import CODE_HEADER
from chiveroad.serving._refusals import RAN_HEADER
from chiveroad.serving._request import BodyTruncated
from chiveroad.serving._request import Header
from chiveroad.serving._request import Request
from chiveroad.serving._server import Handler
from chiveroad.serving._server import IDLE_TIMEOUT_S
from chiveroad.serving._server import Server
from chiveroad.serving._server import stop_all
from chiveroad.serving._stream import BodyInterrupted
from chiveroad.serving._stream import Interrupt
from chiveroad.serving._stream import is_disconnected
from chiveroad.serving._stream import Reader
from chiveroad.serving._stream import send_now
from chiveroad.serving._uplink import is_remote
from chiveroad.serving._uplink import Uplink

__all__ = [
    "BodyInterrupted",
    "BodyTruncated",
    "CHUNK_LINE_BYTES",
    "CODE_HEADER",
    "Handler",
    "Header",
    "IDLE_TIMEOUT_S",
    "Interrupt",
    "Lines",
    "MAX_FRAMING_BYTES",
    "RAN_HEADER",
    "Reader",
    "Request",
    "Server",
    "Uplink",
    "is_disconnected",
    "is_remote",
    "send_now",
    "stop_all",
]
