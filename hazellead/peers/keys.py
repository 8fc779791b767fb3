"""TLS 1.3 between members: both sides prove themselves by certificates of the installation's own CA."""

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
    """Keys that cannot be used; the text says which and why."""


@dataclass(slots=True, frozen=True)
class KeyFiles:
    """Where the CA's certificate, our own and its key are, in PEM."""

    ca: Path
    cert: Path
    key: Path


@dataclass(slots=True, frozen=True)
class NamePolicy:
    """Which names may be members: those listed, or those that fit a pattern as file names do (``pay-*``)."""

    listed: frozenset[str] = frozenset()
    pattern: str = ""

    def allows(self, name: str) -> bool:
        """Say whether a member may be called so."""
        return name in self.listed or bool(self.pattern) and fnmatchcase(name, self.pattern)


def names_in(certificate: dict[str, Any]) -> set[str]:
    """Return the names that a peer's certificate proves: DNS names, or the common name if it has none."""
    names = {value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS"}
    if not names:
        subject = [pair for part in certificate.get("subject", ()) for pair in part]
        names = {value for kind, value in subject if kind == "commonName"}
    return names


def ends_at(certificate: dict[str, Any]) -> datetime:
    """Return when a peer's certificate expires."""
    return datetime.fromtimestamp(ssl.cert_time_to_seconds(certificate["notAfter"]), UTC)


class Keys:
    """The contexts for both sides, made anew when the files are read again."""

    def __init__(self, files: KeyFiles, name: str, warn: timedelta, now: datetime) -> None:
        """Read the files; raises KeyFileError."""
        self._files, self._name, self._warn = files, name, warn
        self.server, self.client, self.expires = self._read(now)

    def renewed(self, files: KeyFiles, now: datetime) -> "Keys":
        """Read the files again; raises KeyFileError, and what is in force stays so."""
        return Keys(files, self._name, self._warn, now)

    def _read(self, now: datetime) -> tuple[ssl.SSLContext, ssl.SSLContext, datetime]:
        try:
            own = x509.load_pem_x509_certificate(self._files.cert.read_bytes())
        except OSError as error:
            raise KeyFileError(f"{self._files.cert}: {error.strerror}") from None
        except ValueError:
            raise KeyFileError(f"{self._files.cert}: no certificate") from None
        expires = own.not_valid_after_utc
        if expires <= now:
            raise KeyFileError(f"{self._files.cert}: expired at {expires.isoformat()}")
        if self._name not in self._names(own):
            raise KeyFileError(f"{self._files.cert}: is not of {self._name!r}")
        self.check(now, expires)
        return self._context(ssl.PROTOCOL_TLS_SERVER), self._context(ssl.PROTOCOL_TLS_CLIENT), expires

    @staticmethod
    def _names(own: x509.Certificate) -> set[str]:
        try:
            extension = own.extensions.get_extension_for_class(x509.SubjectAlternativeName)
            return set(extension.value.get_values_for_type(x509.DNSName))
        except x509.ExtensionNotFound:
            return {str(a.value) for a in own.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)}

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False  # names are the members' own; they are checked after the handshake
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self._files.cert, self._files.key)
        except (OSError, ssl.SSLError) as error:
            raise KeyFileError(f"{self._files.key}: does not fit the certificate ({error})") from None
        try:
            context.load_verify_locations(self._files.ca)
        except (OSError, ssl.SSLError) as error:
            raise KeyFileError(f"{self._files.ca}: no CA certificate ({error})") from None
        return context

    def check(self, now: datetime, expires: datetime | None = None) -> None:
        """Log a certificate that is about to expire."""
        left = (expires or self.expires) - now
        if left <= self._warn:
            log.warning("peer_certificate_expires", path=str(self._files.cert),
                        hours=round(left.total_seconds() / 3600, 1))
