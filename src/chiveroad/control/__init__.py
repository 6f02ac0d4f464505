"""The control plane: accepts and distributes versions, tracks members."""

from chiveroad.control._accept import Accepted
from chiveroad.control._accept import CURRENT
from chiveroad.control._accept import read_base
from chiveroad.control._accept import read_current
from chiveroad.control._accept import read_items
from chiveroad.control._agent import Agent
from chiveroad.control._applied import Applied
from chiveroad.control._control_plane import ControlPlane
from chiveroad.control._follower import Follower
from chiveroad.control._merger import FILES_STATUS
from chiveroad.control._merger import FolderFile
from chiveroad.control._merger import FolderStatus
from chiveroad.control._merger import source_of
from chiveroad.control._messages import DaemonStatus
from chiveroad.control._messages import DomainMembers
from chiveroad.control._messages import DomainStatus
from chiveroad.control._node import Node
from chiveroad.control._peer import Peers
from chiveroad.control._server import ControlHandler
from chiveroad.control._server import STATUS_PATH

__all__ = [
    "Accepted",
    "Agent",
    "Applied",
    "CURRENT",
    "ControlHandler",
    "ControlPlane",
    "DaemonStatus",
    "DomainMembers",
    "DomainStatus",
    "FILES_STATUS",
    "FolderFile",
    "FolderStatus",
    "Follower",
    "Node",
    "Peers",
    "STATUS_PATH",
    "read_base",
    "read_current",
    "read_items",
    "source_of",
]
