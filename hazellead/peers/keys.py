"""TLS 1.3 between members: both sides authenticate by certificates of the installation's own CA."""

import ssl
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import structlog
from cryptography import x509

log = structlog.get_logger()


class KeyFileError(Exception):
    """A certificate or key file is unusable; the message names the file and the reason."""


@dataclass(slots=True, frozen=True)
class KeyFiles:
    """Paths of the CA's certificate, this instance's certificate and its key, all in PEM."""

    ca: Path
    cert: Path
    key: Path


@dataclass(slots=True, frozen=True)
class NamePolicy:
    """The names that members may have: those listed and those that match a shell pattern (``pay-*``)."""

    listed: frozenset[str] = frozenset()
    pattern: str = ""

    def allows(self, name: str) -> bool:
        """Return whether a member may have this name."""
        return name in self.listed or bool(self.pattern) and fnmatchcase(name, self.pattern)


def certificate_names(certificate: dict[str, Any]) -> set[str]:
    """Return the names in a peer's certificate: its DNS names, or the common name if it has none."""
    names = {value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS"}
    if not names:
        subject = [pair for part in certificate.get("subject", ()) for pair in part]
        names = {value for kind, value in subject if kind == "commonName"}
    return names


def certificate_expiry(certificate: dict[str, Any]) -> datetime:
    """Return when a peer's certificate expires."""
    return datetime.fromtimestamp(ssl.cert_time_to_seconds(certificate["notAfter"]), UTC)


class Keys:
    """TLS contexts of server and client made from the key files, and the certificate's expiry."""

    def __init__(self, files: KeyFiles, name: str, warn_before: timedelta, now: datetime) -> None:
        """Read the files; raises KeyFileError."""
        self._files, self._name, self._warn_before = files, name, warn_before
        self.server, self.client, self.expires = self._read(now)

    def reloaded(self, files: KeyFiles, now: datetime) -> "Keys":
        """Return keys read from ``files``; raises KeyFileError. These keys stay unchanged."""
        return Keys(files, self._name, self._warn_before, now)

    def _read(self, now: datetime) -> tuple[ssl.SSLContext, ssl.SSLContext, datetime]:
        try:
            certificate = x509.load_pem_x509_certificate(self._files.cert.read_bytes())
        except OSError as error:
            raise KeyFileError(f"{self._files.cert}: {error.strerror}") from None
        except ValueError:
            raise KeyFileError(f"{self._files.cert}: not a PEM certificate") from None
        expires = certificate.not_valid_after_utc
        if expires <= now:
            raise KeyFileError(f"{self._files.cert}: expired at {expires.isoformat()}")
        if self._name not in self._names(certificate):
            raise KeyFileError(f"{self._files.cert}: was not issued for {self._name!r}")
        self.check(now, expires)
        return self._context(ssl.PROTOCOL_TLS_SERVER), self._context(ssl.PROTOCOL_TLS_CLIENT), expires

    @staticmethod
    def _names(certificate: x509.Certificate) -> set[str]:
        try:
            extension = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
            return set(extension.value.get_values_for_type(x509.DNSName))
        except x509.ExtensionNotFound:
            return {
                str(a.value) for a in certificate.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)}

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False  # member names are no host names; they are checked after the handshake
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self._files.cert, self._files.key)
        except (OSError, ssl.SSLError) as error:
            raise KeyFileError(f"{self._files.key}: does not match the certificate ({error})") from None
        try:
            context.load_verify_locations(self._files.ca)
        except (OSError, ssl.SSLError) as error:
            raise KeyFileError(f"{self._files.ca}: not a CA certificate ({error})") from None
        return context

    def check(self, now: datetime, expires: datetime | None = None) -> None:
        """Log a warning if the certificate is about to expire."""
        remaining = (expires or self.expires) - now
        if remaining <= self._warn_before:
            log.warning("peer_certificate_expires", path=str(self._files.cert),
                        hours=round(remaining.total_seconds() / 3600, 1))
