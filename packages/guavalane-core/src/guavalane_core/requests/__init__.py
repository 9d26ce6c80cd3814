"""Request contexts, route lookup and stored responses."""

from __future__ import annotations

from guavalane_core.requests.answer import (
    StoredAnswer,
    digest_request,
    pack_bytes,
    unpack_bytes,
)
from guavalane_core.requests.context import RequestContext
from guavalane_core.requests.owners import IsLive, OwnerWatch, rank_nodes
from guavalane_core.requests.table import RouteTable, digest_key

__all__ = [
    "IsLive",
    "OwnerWatch",
    "RequestContext",
    "RouteTable",
    "StoredAnswer",
    "digest_key",
    "digest_request",
    "pack_bytes",
    "rank_nodes",
    "unpack_bytes",
]
