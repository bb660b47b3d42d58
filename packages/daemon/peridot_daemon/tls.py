"""TLS contexts for talk between daemons, with keys read again when they change."""

import asyncio
import ssl
from pathlib import Path

from peridot_daemon.settings import Settings
from peridot_placement.decisions import DecisionLog

RELOAD_PERIOD_S = 10.0


class PeerTls:
    """Hold both contexts; both are None when TLS is off."""

    def __init__(self, settings: Settings, log: DecisionLog) -> None:
        self.settings = settings
        self.log = log
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        if not settings.insecure_peers:
            self.server = self._create(ssl.PROTOCOL_TLS_SERVER)
            self.client = self._create(ssl.PROTOCOL_TLS_CLIENT)
            # Peers are addressed by IP and known by the authority alone.
            self.client.check_hostname = False

    async def run(self) -> None:
        """Load the key pair again whenever its files change."""
        loaded = self._stamp()
        while self.server is not None:
            await asyncio.sleep(RELOAD_PERIOD_S)
            stamp = self._stamp()
            if stamp == loaded:
                continue
            try:
                self._load(self.server)
                self._load(self.client)
            except (OSError, ssl.SSLError) as error:
                self.log.write("tls_reload_failed", reason=error)
                continue
            loaded = stamp
            self.log.write("tls_reloaded")

    def _create(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.set_alpn_protocols(["h2"])
        context.load_verify_locations(self.settings.peer_tls_authority)
        self._load(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(
            self.settings.peer_tls_certificate, self.settings.peer_tls_key
        )

    def _stamp(self) -> tuple[float, ...]:
        if self.server is None:
            return ()
        files = (self.settings.peer_tls_certificate, self.settings.peer_tls_key)
        return tuple(_modified_at(Path(file)) for file in files)


def _modified_at(file: Path) -> float:
    try:
        return file.stat().st_mtime
    except OSError:
        return 0.0
