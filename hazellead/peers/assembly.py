"""Puts an instance's part among others together round its scheduler."""

from hazellead.core.clock import Clock
from hazellead.core.scheduler import Scheduler
from hazellead.learning.conversion import Names
from hazellead.peers.config import PeersConfig
from hazellead.peers.service import PeerService
from hazellead.peers.transport import PeerLimits
from hazellead.platform.config import Config


def assemble(given: PeersConfig, scheduler: Scheduler, base: Config, clock: Clock) -> PeerService:
    """Return the service, not started; raises ConfigError for keys that cannot be used."""
    names = Names(base.names.classes, base.names.tenants or ("",))
    # A quarter of the descriptors kept for workers is enough: connections serve both ways.
    connections = max(8, min(64, base.limits.worker_connections // 4))
    return PeerService(given, scheduler, names, clock, PeerLimits(connections=connections))
