"""Answers to datagrams without a connection: Version Negotiation, Retry, stateless reset.

The server keeps no state for any of them.
"""

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

MAX_RESET_LENGTH = 42  # limit of octets of a stateless reset: the size of a small packet
# Limits on stateless resets: the average rate per second, and the number sent at once.
RESETS_PER_S, RESET_BURST_COUNT = 200.0, 100


class StatelessResponder:
    """Sends stateless answers; the rate of stateless resets is limited."""

    def __init__(self, send: Callable[[bytes, Any], None], metrics: Metrics) -> None:
        self._send, self._metrics = send, metrics
        self._reset_bucket = TokenBucket(RESETS_PER_S, RESET_BURST_COUNT)

    def negotiate(self, route: Route, versions: list[int], addr: Any) -> None:
        """Send a Version Negotiation packet with the supported versions (RFC 9000, 6.1)."""
        self._metrics.count("quic_negotiations")
        answer = encode_quic_version_negotiation(
            source_cid=route.destination, destination_cid=route.source, supported_versions=versions
        )
        self._send(answer, addr)

    def reset(self, route: Route, length: int, keys: DerivedKeys, addr: Any, now: float) -> None:
        """Send a stateless reset in answer to a packet of `length` octets (RFC 9000, 10.3).

        The client then does not have to wait for its idle timeout. The state of the connection was lost when
        the process that held it was restarted or discarded it. `now` is in s, of a monotonic clock.
        """
        if not self._reset_bucket.take(now):
            self._metrics.count("quic_resets_held_back")
            return
        self._metrics.count("quic_resets")
        size = max(MIN_RESET_LENGTH, min(length - 1, MAX_RESET_LENGTH))
        token = keys.reset_token(route.destination)
        unpredictable_bits = secrets.token_bytes(size - len(token))
        self._send(bytes([0x40 | unpredictable_bits[0] & 0x3F]) + unpredictable_bits[1:] + token, addr)

    def retry(self, route: Route, source: bytes, tokens: AddressTokens, addr: Any) -> None:
        """Ask a client to validate its address by a token (RFC 9000, 8.1.2).

        `source` is the connection id that the client must use next.
        """
        answer = encode_quic_retry(
            version=route.version,
            source_cid=source,
            destination_cid=route.source,
            original_destination_cid=route.destination,
            retry_token=tokens.make_retry_token(addr, route.destination, source, time.time()),
        )
        self._metrics.count("quic_retries")
        self._send(answer, addr)
