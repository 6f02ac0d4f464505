"""Parses operators' files and merges them into one valid configuration."""

from chiveroad.config._delta import Delta
from chiveroad.config._delta import diff
from chiveroad.config._delta import digest
from chiveroad.config._delta import pack
from chiveroad.config._delta import pack_delta
from chiveroad.config._delta import patch
from chiveroad.config._delta import unpack
from chiveroad.config._delta import unpack_delta
from chiveroad.config._files import check_name
from chiveroad.config._files import Document
from chiveroad.config._files import MAX_FILE_BYTES
from chiveroad.config._files import parse
from chiveroad.config._merge import merge
from chiveroad.config._merge import Merged
from chiveroad.config._merge import Source
from chiveroad.config._merge import Verdict
from chiveroad.config._model import ANY_METHOD
from chiveroad.config._model import Config
from chiveroad.config._model import Customer
from chiveroad.config._model import customer_item
from chiveroad.config._model import Items
from chiveroad.config._model import keep_key_demand
from chiveroad.config._model import Kind
from chiveroad.config._model import Limits
from chiveroad.config._model import limits_item
from chiveroad.config._model import no_customers_item
from chiveroad.config._model import Route
from chiveroad.config._model import route_item
from chiveroad.config._model import Service
from chiveroad.config._model import service_item
from chiveroad.config._model import Share

__all__ = [
    "ANY_METHOD",
    "Config",
    "Customer",
    "Delta",
    "Document",
    "Items",
    "Kind",
    "Limits",
    "MAX_FILE_BYTES",
    "Merged",
    "Route",
    "Service",
    "Share",
    "Source",
    "Verdict",
    "check_name",
    "customer_item",
    "diff",
    "digest",
    "keep_key_demand",
    "limits_item",
    "merge",
    "no_customers_item",
    "pack",
    "pack_delta",
    "parse",
    "patch",
    "route_item",
    "service_item",
    "unpack",
    "unpack_delta",
]
