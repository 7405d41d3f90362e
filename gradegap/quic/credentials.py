"""The certificate and key that the front shows: held against each other, and against the calendar."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

EXPIRY_WARNING_DAYS = 14  # days before its end from which a certificate is warned of


class CredentialsError(ValueError):
    """Files that nothing can be proven with; one plain line."""


@dataclass(slots=True, frozen=True)
class Credentials:
    """A certificate with its key, as read."""

    certificate: str  # paths, as they were read
    private_key: str
    subject: str
    expires_at: datetime.datetime  # UTC

    def days_left(self, now: datetime.datetime) -> float:
        """Days until the certificate ends."""
        return (self.expires_at - now).total_seconds() / 86400


def read_credentials(certificate: str, private_key: str) -> Credentials:
    """`CredentialsError` where a file can't be read, is none, or the key is not the certificate's."""
    try:
        chain = x509.load_pem_x509_certificates(Path(certificate).read_bytes())
        key = load_pem_private_key(Path(private_key).read_bytes(), None)
    except OSError as error:
        raise CredentialsError(f"{error.filename} can't be read: {error.strerror}") from None
    except (ValueError, TypeError) as error:
        raise CredentialsError(f"{certificate} or {private_key} is no PEM file: {str(error)[:80]}") from None
    form = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    if key.public_key().public_bytes(*form) != chain[0].public_key().public_bytes(*form):
        raise CredentialsError(f"{private_key} is not the key of {certificate}")
    subject = chain[0].subject.rfc4514_string()
    return Credentials(certificate, private_key, subject, chain[0].not_valid_after_utc)
