"""What a request has in common with others that may crash endpoints alike."""

from __future__ import annotations

import functools
import hashlib
import secrets
from collections import Counter
from collections.abc import Iterable

from guavalane_core.forwarding.request import CallerRequest

KEY_BYTES = 16
# Bytes of the digest of the head of a request, and of that of its body.
DIGEST_BYTES = 8
# Distinguishes the digest of a request from the identifier of a prompt part.
REQUEST_PREFIX = "request/"
# Length of the digest of a request in characters.
DIGEST_LENGTH = len(REQUEST_PREFIX) + 4 * DIGEST_BYTES


def draw_digest_key() -> bytes:
    """Returns a new key for the digests of requests."""
    return secrets.token_bytes(KEY_BYTES)


def is_request(part_id: str) -> bool:
    """Returns whether a part is the digest of a whole request."""
    return part_id.startswith(REQUEST_PREFIX)


def _head_of(digest: str) -> str:
    return digest.removeprefix(REQUEST_PREFIX)[: 2 * DIGEST_BYTES]


class RequestHeads:
    """Heads of a set of requests, given as the parts that include them."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def __bool__(self) -> bool:
        return bool(self._counts)

    def __contains__(self, head: str) -> bool:
        return head in self._counts

    def add(self, part_id: str) -> None:
        """Adds a part, which is ignored unless it is a request."""
        if is_request(part_id):
            self._counts[_head_of(part_id)] += 1

    def remove(self, part_id: str) -> None:
        """Removes a part that was added."""
        if not is_request(part_id):
            return
        head = _head_of(part_id)
        self._counts[head] -= 1
        if not self._counts[head]:
            del self._counts[head]


class RequestParts:
    """Parts of a request, from the most common one to the request itself.

    The shared parts of its prompt come first. The last part is a digest of the
    method, host, target, caller and body, which are the same when the request
    comes again. Without the key of the nodes, a digest does not tell whether a
    guess of these is right.

    Args:
      key: Key of the digests.
      request: Request.
      caller: Name of the organisation that sends it; empty on public routes.
    """

    def __init__(
        self, key: bytes, request: CallerRequest, caller: str = ""
    ) -> None:
        self._key = key
        self._request = request
        self._caller = caller

    @property
    def shared(self) -> tuple[str, ...]:
        """Identifiers of the prompt parts that other requests can share."""
        prompt = self._request.prompt
        return () if prompt is None else prompt.shared_parts

    @functools.cached_property
    def head(self) -> str:
        """Digest of all but the body."""
        request = self._request
        texts = (request.method, request.host, request.target, self._caller)
        return self._hash(text.encode("utf-8", "replace") for text in texts)

    @functools.cached_property
    def digest(self) -> str:
        """Digest of the whole request. A body of 1 MB takes some ms."""
        return f"{REQUEST_PREFIX}{self.head}{self._hash([self._request.body])}"

    @property
    def all(self) -> tuple[str, ...]:
        """Identifiers of all parts in order."""
        return (*self.shared, self.digest)

    def _hash(self, fields: Iterable[bytes]) -> str:
        state = hashlib.blake2b(key=self._key, digest_size=DIGEST_BYTES)
        for field in fields:
            state.update(len(field).to_bytes(8))
            state.update(field)
        return state.hexdigest()
