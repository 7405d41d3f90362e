"""Answers to datagrams of no connection: Version Negotiation, Retry, stateless reset. None keeps state."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Any

from aioquic.quic.packet import encode_quic_retry, encode_quic_version_negotiation

from gradegap.metrics import Metrics
from gradegap.quic.keys import DerivedKeys
from gradegap.quic.routing import MIN_RESET_LENGTH, Route, TokenBucket
from gradegap.quic.tokens import AddressTokens

STATELESS_RESET_MAX_LENGTH = 42  # octets of a stateless reset, as of a small packet
STATELESS_RESETS_PER_S, STATELESS_RESET_BURST = 200.0, 100  # stateless resets a second, and at once


class StatelessResponder:
    """Sends what a client of no connection here is to know; resets are bounded."""

    def __init__(self, send: Callable[[bytes, Any], None], metrics: Metrics) -> None:
        self._send, self._metrics = send, metrics
        self._reset_bucket = TokenBucket(STATELESS_RESETS_PER_S, STATELESS_RESET_BURST)

    def negotiate(self, route: Route, versions: list[int], addr: Any) -> None:
        """Tell which versions are spoken (RFC 9000, 6.1)."""
        self._metrics.count("quic_negotiations")
        answer = encode_quic_version_negotiation(
            source_cid=route.destination, destination_cid=route.source, supported_versions=versions
        )
        self._send(answer, addr)

    def reset(self, route: Route, length: int, keys: DerivedKeys, addr: Any, now: float) -> None:
        """Tell a client that what its packet of `length` octets is about is lost here (RFC 9000, 10.3).

        So it does not wait for its idle time: this process held the session before it was started anew, or
        has forgotten it. `now`: steady clock, s.
        """
        if not self._reset_bucket.take(now):
            self._metrics.count("quic_resets_held_back")
            return
        self._metrics.count("quic_resets")
        size = max(MIN_RESET_LENGTH, min(length - 1, STATELESS_RESET_MAX_LENGTH))
        token = keys.reset_token(route.destination)
        noise = secrets.token_bytes(size - len(token))
        self._send(bytes([0x40 | noise[0] & 0x3F]) + noise[1:] + token, addr)

    def retry(self, route: Route, source: bytes, tokens: AddressTokens, addr: Any) -> None:
        """Ask a client to prove its address by a token (RFC 9000, 8.1.2); `source` is its next id."""
        answer = encode_quic_retry(
            version=route.version,
            source_cid=source,
            destination_cid=route.source,
            original_destination_cid=route.destination,
            retry_token=tokens.make_retry_token(addr, route.destination, source, time.time()),
        )
        self._metrics.count("quic_retries")
        self._send(answer, addr)
