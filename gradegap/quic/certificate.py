"""The listener's certificate, with the configuration made of it: read, reloaded, watched for its end."""

from __future__ import annotations

import asyncio
import datetime
import ssl
from pathlib import Path

import structlog
from aioquic.quic.configuration import QuicConfiguration

from gradegap.metrics import Metrics
from gradegap.quic.credentials import EXPIRY_WARNING_DAYS, read_credentials
from gradegap.quic.keys import NONCE_LENGTH, SERVER_ID_LENGTH
from gradegap.quic.settings import QuicSettings

log = structlog.get_logger()

FLOW_CONTROL_WINDOW = 256 * 1024  # bytes that a client may send ahead at first
CERTIFICATE_CHECK_S = 24 * 3600.0  # between two looks at the certificate's end


class ServerCertificate:
    """The certificate in force; `configuration` is for new connections, established ones keep theirs."""

    def __init__(self, settings: QuicSettings, metrics: Metrics, loop: asyncio.AbstractEventLoop) -> None:
        """`CredentialsError` where the files can't be used."""
        self.settings, self.metrics, self.loop = settings, metrics, loop
        self._timer: asyncio.TimerHandle | None = None
        # Open for as long as the process lives: secrets of each session go there as they are made.
        self.keylog = Path(settings.keylog).open("a") if settings.keylog else None  # noqa: SIM115
        if self.keylog is not None:
            log.warning("secrets of all QUIC sessions are written to a file", keylog=settings.keylog)
        self.configuration = self._read()
        self._warn_before_expiry()

    def _read(self) -> QuicConfiguration:
        """With the certificate as it is on disk now; `CredentialsError` where it can't be used."""
        settings = self.settings
        self.credentials = read_credentials(settings.certificate, settings.private_key)
        made = QuicConfiguration(
            is_client=False,
            alpn_protocols=list(settings.alpn),
            connection_id_length=1 + SERVER_ID_LENGTH + NONCE_LENGTH,
            idle_timeout=settings.idle_s,
            max_data=FLOW_CONTROL_WINDOW,
            max_stream_data=FLOW_CONTROL_WINDOW,
            verify_mode=ssl.CERT_NONE,
            secrets_log_file=self.keylog,
        )
        made.load_cert_chain(settings.certificate, settings.private_key)
        return made

    def reload(self) -> None:
        """Read the files again; what can't be used changes nothing."""
        try:
            self.configuration = self._read()
        except ValueError as error:
            self.metrics.count("quic_certificates_refused")
            log.error("certificate not reloaded", error=str(error))
            return
        self.metrics.count("quic_certificates")
        log.info(
            "certificate reloaded", subject=self.credentials.subject, until=str(self.credentials.expires_at)
        )
        self._warn_before_expiry()

    def days_left(self) -> float:
        """Days until the certificate ends, to a tenth."""
        return round(self.credentials.days_left(datetime.datetime.now(datetime.UTC)), 1)

    def close(self) -> None:
        """End the timer and the key log."""
        if self._timer is not None:
            self._timer.cancel()
        if self.keylog is not None:
            self.keylog.close()

    def _warn_before_expiry(self) -> None:
        if (left := self.days_left()) < EXPIRY_WARNING_DAYS:
            log.warning("certificate expires soon", days=left, subject=self.credentials.subject)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_later(CERTIFICATE_CHECK_S, self._warn_before_expiry)
