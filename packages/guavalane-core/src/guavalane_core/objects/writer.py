"""Conditional writes that resolve lost responses by reading back."""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from typing import Any

from guavalane_core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects.api import (
    ObjectApi,
    ObjectMetadata,
    StoredObject,
)

WRITE_TOKEN_KEY = "write_token"
WRITE_TOKEN_BYTES = 12
# Attempts at a write before its outcome is reported as unknown.
MAX_ATTEMPTS = 3


class ConditionalWriter:
    """Writes objects with a token that identifies the write.

    A write whose response was lost may still take effect later. It is therefore
    repeated with the same token: the copy that arrives first succeeds, and the
    token that is read back tells whether it was this write.

    Args:
      api: Object API.
    """

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object.

        Raises:
          ObjectConflictError: The object exists.
          WriteOutcomeUnknownError: The object may or may not exist.
          ObjectApiUnavailableError: Nothing was written.
        """
        return await self._write(kind, name, body, None, annotations)

    async def update(
        self,
        stored: StoredObject | ObjectMetadata,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object that still has the version of `stored`.

        Raises:
          ObjectConflictError: The object has another version.
          ObjectNotFoundError: The object was deleted.
          WriteOutcomeUnknownError: The write may or may not take effect.
          ObjectApiUnavailableError: Nothing was written.
        """
        return await self._write(
            stored.kind, stored.name, body, stored.version, annotations
        )

    async def _write(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str | None,
        annotations: Mapping[str, str] | None,
    ) -> StoredObject:
        token = secrets.token_hex(WRITE_TOKEN_BYTES)
        body = {**body, WRITE_TOKEN_KEY: token}
        uncertain = False
        for _ in range(MAX_ATTEMPTS):
            try:
                if version is None:
                    return await self._api.create(kind, name, body, annotations)
                return await self._api.update(
                    kind, name, body, version, annotations
                )
            except WriteOutcomeUnknownError:
                uncertain = True
            except ObjectConflictError:
                if not uncertain:
                    raise
            except Exception as error:
                if not uncertain:
                    raise
                raise WriteOutcomeUnknownError(f"{kind}/{name}") from error
            found = await self._read_back(kind, name)
            if found is not None:
                if found.body.get(WRITE_TOKEN_KEY) == token:
                    return found
                if version is None or found.version != version:
                    raise ObjectConflictError(f"{kind}/{name} has changed")
        raise WriteOutcomeUnknownError(f"{kind}/{name}")

    async def _read_back(self, kind: str, name: str) -> StoredObject | None:
        try:
            return await self._api.get(kind, name)
        except ObjectNotFoundError:
            return None
        except Exception as error:
            raise WriteOutcomeUnknownError(f"{kind}/{name}") from error
