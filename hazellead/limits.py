"""The sizes, counts and times that bound the program: one frozen value, filled at start and handed down."""

from dataclasses import dataclass, replace
from datetime import timedelta

KIB = 1024


@dataclass(slots=True, frozen=True)
class Limits:
    """Everything that is bounded, and by how much."""

    # Sizes in bytes.
    body: int = 64 * KIB
    worker_list: int = 1024 * KIB
    head: int = 16 * KIB
    headers: int = 64
    # Counts. A connection to the scheduler carries one request at a time.
    client_connections: int = 500
    worker_connections: int = 300
    idle_per_worker: int = 16
    requests: int = 1000
    # How long before the client's deadline the scheduler stops waiting, so that its answer still arrives.
    answer_margin: timedelta = timedelta(milliseconds=25)
    connect: timedelta = timedelta(milliseconds=250)
    probe: timedelta = timedelta(milliseconds=500)
    give_up: timedelta = timedelta(seconds=1)  # how long a DELETE may take
    worker_idle: timedelta = timedelta(seconds=5)  # well before the worker closes the connection itself
    client_idle: timedelta = timedelta(seconds=120)
    client_read: timedelta = timedelta(seconds=10)  # for one request's bytes, and for taking one answer's
    linger: timedelta = timedelta(seconds=1)  # for a peer to read the last answer before the close
    watch: timedelta = timedelta(seconds=20)
    watch_grace: timedelta = timedelta(seconds=1)  # past the watch, for its answer to arrive
    stop_accepting: timedelta = timedelta(milliseconds=700)  # after SIGTERM, for clients that don't know yet
    busy_retry: timedelta = timedelta(seconds=1)  # told to clients turned away for want of room

    @staticmethod
    def fit(sockets: int, most_held: int, connect: timedelta, worker_idle: timedelta) -> "Limits":
        """Share out the descriptors, keeping some for discovery, the log and the listener."""
        usable = max(16, sockets - 64)
        clients = usable * 3 // 5
        return Limits(
            client_connections=clients,
            worker_connections=usable - clients,
            # A refused connection still takes its answer: open requests stay under the connections.
            requests=max(1, min(most_held, clients)),
            connect=connect,
            worker_idle=min(worker_idle / 3, timedelta(seconds=5)),
        )

    def for_lists(self) -> "Limits":
        """Return the same with room for a whole worker list as the body."""
        return replace(self, body=self.worker_list)
