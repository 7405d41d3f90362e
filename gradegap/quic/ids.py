"""Routable connection ids: QUIC-LB (draft-ietf-quic-load-balancers, sections 3 to 5). No I/O.

    connection id = first octet, server id, nonce
    first octet   = 3 config rotation bits; 5 bits with the length of the remaining octets, or random bits

Any node, process or core that has the configuration decodes the server id from the connection id alone. Here
the server id names a *holder*: the process that holds an established connection. It never decides where a
new session goes.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

UNROUTABLE_BITS = 7  # config rotation bits of an unroutable connection id (section 3.1)
MAX_ID_LENGTH = 20  # limit of octets of a connection id (RFC 9000, 17.2)
MIN_NONCE_LENGTH = 4  # octets
AES_KEY_LENGTH = 16  # octets: AES-128


class IdConfigurationError(ValueError):
    """A configuration that violates the limits of QUIC-LB; the message is one plain line."""


@dataclass(slots=True, frozen=True)
class IdConfiguration:
    """One QUIC-LB configuration; `bits` distinguishes it from others in use at the same time."""

    bits: int  # config rotation bits, 0 to 6
    server_id_length: int  # octets
    nonce_length: int  # octets
    key: bytes = b""  # empty: the server id and the nonce are not encrypted
    encodes_length: bool = True  # the first octet holds the length of the remaining octets

    def __post_init__(self) -> None:
        if not 0 <= self.bits < UNROUTABLE_BITS:
            raise IdConfigurationError(f"config rotation bits must be 0 to 6, got {self.bits}")
        if not 1 <= self.server_id_length <= 15:
            raise IdConfigurationError(f"server id must be 1 to 15 octets long, got {self.server_id_length}")
        if self.nonce_length < MIN_NONCE_LENGTH:
            raise IdConfigurationError(
                f"nonce must be at least {MIN_NONCE_LENGTH} octets long, got {self.nonce_length}"
            )
        if self.length > MAX_ID_LENGTH:
            raise IdConfigurationError(
                f"connection id must be at most {MAX_ID_LENGTH} octets long, got {self.length}"
            )
        if self.key and len(self.key) != AES_KEY_LENGTH:
            raise IdConfigurationError(f"key must be {AES_KEY_LENGTH} octets long, got {len(self.key)}")

    @property
    def length(self) -> int:
        """Length in octets of a connection id of this configuration."""
        return 1 + self.server_id_length + self.nonce_length


@dataclass(slots=True, frozen=True)
class DecodedId:
    """The fields of a decoded connection id."""

    bits: int
    server_id: bytes
    nonce: bytes


class IdCodec:
    """Encodes and decodes connection ids of one configuration.

    A nonce must not repeat under one key. Nonces are random, so the configuration must make them long enough
    that a repetition is improbable.
    """

    def __init__(self, configuration: IdConfiguration) -> None:
        self.configuration = configuration
        self._encrypt_block: Callable[[bytes], bytes] | None = None
        self._decrypt_block: Callable[[bytes], bytes] | None = None
        if configuration.key:
            # Imported here: the command line imports this module for key rings, and a node without QUIC does
            # not load the library.
            from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

            # The draft asks for ECB over single blocks; nothing longer than a block is encrypted with it.
            cipher = Cipher(algorithms.AES(configuration.key), modes.ECB())
            self._encrypt_block = cipher.encryptor().update
            self._decrypt_block = cipher.decryptor().update

    def make(self, server_id: bytes, nonce: bytes | None = None, random_bits: int | None = None) -> bytes:
        """Return a connection id that encodes a server id.

        `nonce`, and `random_bits` for the unused bits of the first octet, are drawn at random unless a test
        gives them.

        Raises:
            ValueError: if the server id or the nonce does not have the configured length.
        """
        config = self.configuration
        if len(server_id) != config.server_id_length:
            raise ValueError(f"server id must be {config.server_id_length} octets long, got {len(server_id)}")
        nonce = secrets.token_bytes(config.nonce_length) if nonce is None else nonce
        if len(nonce) != config.nonce_length:
            raise ValueError(f"nonce must be {config.nonce_length} octets long, got {len(nonce)}")
        low_bits = (
            config.length - 1
            if config.encodes_length
            else (secrets.randbits(5) if random_bits is None else random_bits & 31)
        )
        return bytes([config.bits << 5 | low_bits]) + self._encrypt(server_id + nonce)

    def read(self, cid: bytes) -> DecodedId | None:
        """Decode a connection id; None if it is not of this configuration.

        Without a key, any id of the right length decodes to some server id. With a key, an attacker can
        forge an id of a given server only by chance.
        """
        config = self.configuration
        if (
            len(cid) < config.length
            or cid[0] >> 5 != config.bits
            or (config.encodes_length and cid[0] & 31 != config.length - 1)
        ):
            return None
        plaintext = self._decrypt(cid[1 : config.length])
        return DecodedId(
            config.bits,
            plaintext[: config.server_id_length],
            plaintext[config.server_id_length :],
        )

    def _encrypt(self, plaintext: bytes) -> bytes:
        if self._encrypt_block is None:
            return plaintext
        return (
            self._encrypt_block(plaintext)
            if len(plaintext) == 16
            else self._four_pass(plaintext, (1, 2, 3, 4))
        )

    def _decrypt(self, ciphertext: bytes) -> bytes:
        if self._decrypt_block is None:
            return ciphertext
        return (
            self._decrypt_block(ciphertext)
            if len(ciphertext) == 16
            else self._four_pass(ciphertext, (4, 3, 2, 1))
        )

    def _four_pass(self, data: bytes, rounds: Iterable[int]) -> bytes:
        """Apply the four-pass algorithm of section 5.4, a Feistel network of four rounds.

        If the length is odd, the two halves share the middle octet, one nibble each. Applying the rounds in
        reverse order decrypts.
        """
        assert self._encrypt_block is not None
        length = len(data)
        half, odd = (length + 1) // 2, length % 2 == 1
        left, right = bytearray(data[:half]), bytearray(data[length - half :])
        if odd:
            left[-1] &= 0xF0
            right[0] &= 0x0F
        for number in rounds:
            source, target = (left, right) if number % 2 else (right, left)
            block = bytes(source).ljust(14, b"\0") + bytes([length, number])
            mask = self._encrypt_block(block)[:half]
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
    """The codecs of all configurations in use; new connection ids are made with the last one."""

    def __init__(self, configurations: Iterable[IdConfiguration]) -> None:
        self.codecs: dict[int, IdCodec] = {}
        for configuration in configurations:
            if configuration.bits in self.codecs:
                raise IdConfigurationError(
                    f"two configurations have the config rotation bits {configuration.bits}"
                )
            self.codecs[configuration.bits] = IdCodec(configuration)
        if not self.codecs:
            raise IdConfigurationError("at least one configuration is required, got none")
        self.newest = list(self.codecs.values())[-1]

    def make(self, server_id: bytes) -> bytes:
        """Return a connection id that encodes a server id, made with the newest configuration."""
        return self.newest.make(server_id)

    def read(self, cid: bytes) -> DecodedId | None:
        """Decode a connection id.

        None if it is of no configuration in use: its configuration is retired, or it is unroutable or
        arbitrary.
        """
        codec = self.codecs.get(cid[0] >> 5) if cid else None
        return codec.read(cid) if codec is not None else None

    def length_of(self, first_octet: int) -> int | None:
        """Return a connection id's length in octets, given its first one: short headers have no length field.

        None if no configuration in use has the config rotation bits of that octet.
        """
        codec = self.codecs.get(first_octet >> 5)
        return codec.configuration.length if codec is not None else None
