"""TLS contexts for connections between daemons, reloaded when the key pair changes."""

import asyncio
import ssl
from pathlib import Path

from peridot_daemon.settings import Settings
from peridot_placement.decisions import DecisionLog

RELOAD_PERIOD_S = 10.0


class PeerTls:
    """Server and client contexts; both are None if TLS is off."""

    def __init__(self, settings: Settings, log: DecisionLog) -> None:
        self.settings = settings
        self.log = log
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        if not settings.insecure_peers:
            self.server = self._create_context(ssl.PROTOCOL_TLS_SERVER)
            self.client = self._create_context(ssl.PROTOCOL_TLS_CLIENT)
            # Peers are addressed by IP; a certificate of the authority identifies them.
            self.client.check_hostname = False

    async def run(self) -> None:
        """Reload the key pair whenever its files change, until cancelled."""
        loaded_mtimes = self._key_pair_mtimes()
        while self.server is not None:
            await asyncio.sleep(RELOAD_PERIOD_S)
            mtimes = self._key_pair_mtimes()
            if mtimes == loaded_mtimes:
                continue
            try:
                self._load_key_pair(self.server)
                self._load_key_pair(self.client)
            except (OSError, ssl.SSLError) as error:
                self.log.write("tls_reload_failed", reason=error)
                continue
            loaded_mtimes = mtimes
            self.log.write("tls_reloaded")

    def _create_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.set_alpn_protocols(["h2"])
        context.load_verify_locations(self.settings.peer_tls_authority)
        self._load_key_pair(context)
        return context

    def _load_key_pair(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(
            self.settings.peer_tls_certificate, self.settings.peer_tls_key
        )

    def _key_pair_mtimes(self) -> tuple[float, ...]:
        if self.server is None:
            return ()
        paths = (self.settings.peer_tls_certificate, self.settings.peer_tls_key)
        return tuple(_read_mtime(Path(path)) for path in paths)


def _read_mtime(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError:
        return 0.0
