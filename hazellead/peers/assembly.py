"""Creates the peer service of a scheduler."""

from hazellead.core.clock import Clock
from hazellead.core.scheduler import Scheduler
from hazellead.learning.conversion import Names
from hazellead.peers.config import PeersConfig
from hazellead.peers.service import PeerService
from hazellead.peers.transport import PeerLimits
from hazellead.platform.config import Config


def assemble(config: PeersConfig, scheduler: Scheduler, base: Config, clock: Clock) -> PeerService:
    """Return the service, not yet started; raises ConfigError for unusable keys."""
    names = Names(base.names.classes, base.names.tenants or ("",))
    # A quarter of the descriptors for workers is enough, since a connection carries both directions.
    connections = max(8, min(64, base.limits.worker_connections // 4))
    return PeerService(config, scheduler, names, clock, PeerLimits(connections=connections))
