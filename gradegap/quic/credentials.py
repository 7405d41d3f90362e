"""Reads the listener's certificate and private key, and checks that they belong together."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

EXPIRY_WARNING_DAYS = 14  # a certificate with fewer days left is logged as expiring soon


class CredentialsError(ValueError):
    """The certificate or the private key is unusable; the message is one plain line."""


@dataclass(slots=True, frozen=True)
class Credentials:
    """A certificate and its private key, as read from their files."""

    certificate: str  # path of the certificate file
    private_key: str  # path of the key file
    subject: str
    expires_at: datetime.datetime  # UTC

    def days_left(self, now: datetime.datetime) -> float:
        """Return the days until the certificate expires."""
        return (self.expires_at - now).total_seconds() / 86400


def read_credentials(certificate: str, private_key: str) -> Credentials:
    """Read a certificate chain and its private key from PEM files, given by their paths.

    Raises:
        CredentialsError: if a file can't be read or is not valid PEM, or if the key does not match the
            certificate.
    """
    try:
        chain = x509.load_pem_x509_certificates(Path(certificate).read_bytes())
        key = load_pem_private_key(Path(private_key).read_bytes(), None)
    except OSError as error:
        raise CredentialsError(f"{error.filename} can't be read: {error.strerror}") from None
    except (ValueError, TypeError) as error:
        raise CredentialsError(
            f"{certificate} or {private_key} is not a valid PEM file: {str(error)[:80]}"
        ) from None
    key_format = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    if key.public_key().public_bytes(*key_format) != chain[0].public_key().public_bytes(*key_format):
        raise CredentialsError(f"{private_key} is not the private key of {certificate}")
    subject = chain[0].subject.rfc4514_string()
    return Credentials(certificate, private_key, subject, chain[0].not_valid_after_utc)
