"""The listener's certificate and the aioquic configuration made with it: loading, reload, expiry warnings."""

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

# Initial flow-control window of a connection and of each stream: the data that a client may send before the
# window is raised.
FLOW_CONTROL_WINDOW_BYTES = 256 * 1024
CERTIFICATE_CHECK_INTERVAL_S = 24 * 3600.0  # interval between checks of the certificate's expiry


class ServerCertificate:
    """The certificate in force.

    New connections use `configuration`; a reload leaves established connections as they are.
    """

    def __init__(self, settings: QuicSettings, metrics: Metrics, loop: asyncio.AbstractEventLoop) -> None:
        """Load the certificate and start the expiry check.

        Raises:
            CredentialsError: if the certificate or its key can't be read or don't belong together.
        """
        self.settings, self.metrics, self.loop = settings, metrics, loop
        self._timer: asyncio.TimerHandle | None = None
        # Stays open as long as the process runs: TLS secrets are written whenever a session derives them.
        self.keylog = Path(settings.keylog).open("a") if settings.keylog else None  # noqa: SIM115
        if self.keylog is not None:
            log.warning(
                "TLS key log enabled, secrets of all QUIC sessions are written", keylog=settings.keylog
            )
        self.configuration = self._load()
        self._warn_before_expiry()

    def _load(self) -> QuicConfiguration:
        """Read the certificate files and return a configuration that uses them.

        Raises:
            CredentialsError: if the certificate or its key can't be read or don't belong together.
        """
        settings = self.settings
        self.credentials = read_credentials(settings.certificate, settings.private_key)
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=list(settings.alpn),
            connection_id_length=1 + SERVER_ID_LENGTH + NONCE_LENGTH,
            idle_timeout=settings.idle_s,
            max_data=FLOW_CONTROL_WINDOW_BYTES,
            max_stream_data=FLOW_CONTROL_WINDOW_BYTES,
            verify_mode=ssl.CERT_NONE,
            secrets_log_file=self.keylog,
        )
        configuration.load_cert_chain(settings.certificate, settings.private_key)
        return configuration

    def reload(self) -> None:
        """Read the files again; if they are invalid, the previous configuration stays in force."""
        try:
            self.configuration = self._load()
        except ValueError as error:
            self.metrics.count("quic_certificates_refused")
            log.error("certificate not reloaded", error=str(error))
            return
        self.metrics.count("quic_certificates")
        log.info(
            "certificate reloaded",
            subject=self.credentials.subject,
            valid_until=str(self.credentials.expires_at),
        )
        self._warn_before_expiry()

    def days_left(self) -> float:
        """Return the days until the certificate expires, rounded to a tenth."""
        return round(self.credentials.days_left(datetime.datetime.now(datetime.UTC)), 1)

    def close(self) -> None:
        """Cancel the expiry check and close the key log."""
        if self._timer is not None:
            self._timer.cancel()
        if self.keylog is not None:
            self.keylog.close()

    def _warn_before_expiry(self) -> None:
        if (remaining_days := self.days_left()) < EXPIRY_WARNING_DAYS:
            log.warning("certificate expires soon", days=remaining_days, subject=self.credentials.subject)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_later(CERTIFICATE_CHECK_INTERVAL_S, self._warn_before_expiry)
