"""Connection ids that say whose they are: QUIC-LB (draft-ietf-quic-load-balancers, sections 3 to 5). No I/O.

    id     = first octet, server id, nonce
    first  = 3 bits: which configuration; 5 bits: the length of what follows, or chance

Any node, process or core that has the configuration finds an id's owner from the id alone. What is owned here
is a *holder*: it says who holds a session that stands, and never where a new one goes.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

UNROUTABLE_BITS = 7  # configuration bits of an id that names nobody (section 3.1)
MAX_ID_LENGTH = 20  # octets of an id (RFC 9000, 17.2)
MIN_NONCE_LENGTH = 4
AES_KEY_LENGTH = 16  # octets: AES-128


class IdConfigurationError(ValueError):
    """A configuration that no ids can be made with; one plain line."""


@dataclass(slots=True, frozen=True)
class IdConfiguration:
    """One way of making ids. `bits` tells it from others that are in use at the same time."""

    bits: int  # 0 to 6
    server_length: int
    nonce_length: int
    key: bytes = b""  # empty: server id and nonce stand in the open
    says_length: bool = True

    def __post_init__(self) -> None:
        if not 0 <= self.bits < UNROUTABLE_BITS:
            raise IdConfigurationError(f"configuration bits are 0 to 6, not {self.bits}")
        if not 1 <= self.server_length <= 15:
            raise IdConfigurationError(f"a server id is 1 to 15 octets, not {self.server_length}")
        if self.nonce_length < MIN_NONCE_LENGTH:
            raise IdConfigurationError(
                f"a nonce is {MIN_NONCE_LENGTH} octets or more, not {self.nonce_length}"
            )
        if self.length > MAX_ID_LENGTH:
            raise IdConfigurationError(f"ids would be {self.length} octets, and may be {MAX_ID_LENGTH}")
        if self.key and len(self.key) != AES_KEY_LENGTH:
            raise IdConfigurationError(f"a key is {AES_KEY_LENGTH} octets, not {len(self.key)}")

    @property
    def length(self) -> int:
        """Octets of an id."""
        return 1 + self.server_length + self.nonce_length


@dataclass(slots=True, frozen=True)
class DecodedId:
    """What an id says."""

    bits: int
    server: bytes
    nonce: bytes


class IdCodec:
    """Makes and reads ids of one configuration.

    Nonces must not repeat under one key: they are random, and long enough by the configuration's choice.
    """

    def __init__(self, configuration: IdConfiguration) -> None:
        self.configuration = configuration
        self._encrypt: Callable[[bytes], bytes] | None = None
        self._decrypt: Callable[[bytes], bytes] | None = None
        if configuration.key:
            # Loaded here: the command line knows of rings, and a node without QUIC pays nothing for it.
            from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

            # ECB over single blocks is what the draft asks for; nothing longer than a block goes through it.
            cipher = Cipher(algorithms.AES(configuration.key), modes.ECB())
            self._encrypt = cipher.encryptor().update
            self._decrypt = cipher.decryptor().update

    def make(self, server: bytes, nonce: bytes | None = None, chance: int | None = None) -> bytes:
        """An id of that server's.

        `nonce`, and `chance` for the first octet's free bits, are random but in tests.
        """
        c = self.configuration
        if len(server) != c.server_length:
            raise ValueError(f"a server id of {len(server)} octets, where {c.server_length} are agreed on")
        nonce = secrets.token_bytes(c.nonce_length) if nonce is None else nonce
        if len(nonce) != c.nonce_length:
            raise ValueError(f"a nonce of {len(nonce)} octets, where {c.nonce_length} are agreed on")
        low = c.length - 1 if c.says_length else (secrets.randbits(5) if chance is None else chance & 31)
        return bytes([c.bits << 5 | low]) + self._seal(server + nonce)

    def read(self, cid: bytes) -> DecodedId | None:
        """None for an id that is none of this configuration's.

        Any id of the right length that is not sealed reads as somebody's: only a key makes forging one a
        matter of luck.
        """
        c = self.configuration
        if len(cid) < c.length or cid[0] >> 5 != c.bits or (c.says_length and cid[0] & 31 != c.length - 1):
            return None
        plain = self._open(cid[1 : c.length])
        return DecodedId(c.bits, plain[: c.server_length], plain[c.server_length :])

    def _seal(self, plain: bytes) -> bytes:
        if self._encrypt is None:
            return plain
        return self._encrypt(plain) if len(plain) == 16 else self._four_pass(plain, (1, 2, 3, 4))

    def _open(self, sealed: bytes) -> bytes:
        if self._decrypt is None:
            return sealed
        return self._decrypt(sealed) if len(sealed) == 16 else self._four_pass(sealed, (4, 3, 2, 1))

    def _four_pass(self, data: bytes, order: Iterable[int]) -> bytes:
        """Section 5.4: a Feistel network of four rounds.

        Over halves that share the nibbles of their middle octet where the length is odd. Backwards it is its
        own inverse.
        """
        assert self._encrypt is not None
        length = len(data)
        half, odd = (length + 1) // 2, length % 2 == 1
        left, right = bytearray(data[:half]), bytearray(data[length - half :])
        if odd:
            left[-1] &= 0xF0
            right[0] &= 0x0F
        for number in order:
            source, target = (left, right) if number % 2 else (right, left)
            block = bytes(source).ljust(14, b"\0") + bytes([length, number])
            mask = self._encrypt(block)[:half]
            for k in range(half):
                target[k] ^= mask[k]
            if odd and number % 2:
                right[0] &= 0x0F
            elif odd:
                left[-1] &= 0xF0
        if not odd:
            return bytes(left + right)
        return bytes(left[:-1]) + bytes([left[-1] | right[0]]) + bytes(right[1:])


class IdCodecs:
    """All configurations that ids are read by; the last is the one that new ids are made by."""

    def __init__(self, configurations: Iterable[IdConfiguration]) -> None:
        self.codecs: dict[int, IdCodec] = {}
        for each in configurations:
            if each.bits in self.codecs:
                raise IdConfigurationError(f"two configurations have the bits {each.bits}")
            self.codecs[each.bits] = IdCodec(each)
        if not self.codecs:
            raise IdConfigurationError("there is no configuration")
        self.newest = list(self.codecs.values())[-1]

    def make(self, server: bytes) -> bytes:
        """An id of that server, by the newest configuration."""
        return self.newest.make(server)

    def read(self, cid: bytes) -> DecodedId | None:
        """None for an id that no configuration in use has made: retired, unroutable, or anybody's."""
        coder = self.codecs.get(cid[0] >> 5) if cid else None
        return coder.read(cid) if coder is not None else None

    def length_of(self, first: int) -> int | None:
        """How long the id is that begins with this octet, as a packet with a short header does not say.

        None where no configuration in use begins so.
        """
        coder = self.codecs.get(first >> 5)
        return coder.configuration.length if coder is not None else None
