"""Bounds on sizes, counts and times: one frozen value, filled at start and passed to all components."""

from dataclasses import dataclass, replace
from datetime import timedelta

KIB = 1024
_LONGEST_DEADLINE = timedelta(seconds=3)  # longer deadlines count as this one when shutdown is timed
_KILL = timedelta(milliseconds=700)  # SIGKILL follows SIGTERM by the longest deadline plus this, or later
_SPARE = timedelta(milliseconds=100)  # before SIGKILL, for clients to read the last answers
_LAST_JOB = timedelta(milliseconds=1100)  # for the job accepted last; at most the longest deadline


# The times that are derived from the settings and change when these are reloaded.
_FROM_SETTINGS = (
    "shutdown_accept", "shutdown_answer", "connect", "watch_grace", "worker_idle", "busy_retry",
    "drain_grace")


def _shutdown_answer(longest_deadline: timedelta) -> timedelta:
    """Return the time from SIGTERM to the last answer, given the longest deadline of all classes."""
    return min(longest_deadline, _LONGEST_DEADLINE) + _KILL - _SPARE


def _shutdown_accept(longest_deadline: timedelta) -> timedelta:
    """Return how long jobs are accepted after SIGTERM, so that the last one has enough time left."""
    return _shutdown_answer(longest_deadline) - min(longest_deadline, _LAST_JOB)


@dataclass(slots=True, frozen=True)
class Limits:
    """All bounds, with defaults."""

    # Sizes in bytes.
    body: int = 64 * KIB
    buffered: int = 16 * 1024 * KIB  # of partly received requests, over all connections
    job_bytes: int = 16 * 1024 * KIB  # of the bodies of open jobs
    write_buffer: int = 1024 * KIB  # written to a Gearman connection and not yet sent
    pipelined: int = 1024 * KIB  # read and discarded after a request that is still being processed
    worker_list: int = 1024 * KIB
    head: int = 16 * KIB
    read: int = 16 * KIB  # from a connection at once; its buffer holds four times as much
    last_read: int = 64 * KIB  # before a close, since unread bytes would turn it into a reset
    chunk_line: int = 64  # the line with a chunk's size and extensions
    admin_line: int = 1 * KIB
    inventory: int = 1024 * KIB
    headers: int = 64
    chunks_at_once: int = 256  # of a body that are decoded before other connections have their turn
    name: int = 512  # of a Gearman function, worker or unique key
    # Counts. A connection to the scheduler carries one request at a time.
    client_connections: int = 500
    refusals: int = 32  # connections over the limit that still receive a refusal
    gearman_connections: int = 0
    console_connections: int = 16  # reserved: clients cannot use them
    worker_connections: int = 300
    idle_per_worker: int = 16
    requests: int = 1000
    backlog: int = 512  # connections that the kernel queues for accept
    accepts: int = 32  # per event-loop iteration, so that many new connections do not starve the others
    slots: int = 1024  # that one job may request
    ended_ids: int = 4096  # ids of ended requests that are kept to detect their reuse
    returned_jobs: int = 4096  # jobs returned by call-back that are kept to detect repeated call-backs
    group_depth: int = 16  # nesting of an inventory's groups
    packets_at_once: int = 8  # of a Gearman connection before others have their turn
    abilities: int = 256  # functions that one Gearman worker may register
    # How long before the client's deadline the scheduler stops waiting, so that its answer arrives in time.
    answer_margin: timedelta = timedelta(milliseconds=25)
    connect: timedelta = timedelta(milliseconds=250)
    accept: timedelta = timedelta(seconds=1)  # for a worker to accept a job or to report on it
    probe: timedelta = timedelta(milliseconds=500)
    cancel: timedelta = timedelta(seconds=1)  # for a DELETE request to a worker
    worker_idle: timedelta = timedelta(seconds=5)  # shorter than the worker's own idle time-out
    client_idle: timedelta = timedelta(seconds=120)
    # For receiving one request; the first counts from the opening of the connection. A silent or malformed
    # client must be disconnected within 3 s, and a sweep may notice it one period late.
    client_read: timedelta = timedelta(seconds=2)
    client_write: timedelta = timedelta(seconds=10)  # for a client to receive one answer
    first_byte: timedelta = timedelta(milliseconds=100)  # then a silent new connection can make room
    slow: timedelta = timedelta(seconds=1)  # then a client that sends slowly can make room
    drain_pause: timedelta = timedelta(milliseconds=10)  # between reads of data that is discarded
    linger: timedelta = timedelta(seconds=1)  # for a peer to read the last answer before the close
    accept_pause: timedelta = timedelta(milliseconds=50)  # after accept failed for lack of descriptors
    sweep: timedelta = timedelta(milliseconds=500)  # between checks for connections to close
    # The range from which the wait of a watch's call is drawn. Each answer renews the lease on the list from
    # when its call was made, and a silence is noticed at the end of a wait: the shorter the wait, the more of
    # the lease is left for a call that reopens the watch.
    watch_min: timedelta = timedelta(seconds=1)
    watch_max: timedelta = timedelta(seconds=1.5)
    watch_grace: timedelta = timedelta(milliseconds=250)  # after the wait, for the answer to arrive
    # How long to listen further on a watch that seems to be silent: when discovery goes down, it may end its
    # watches a little later.
    late_answer: timedelta = timedelta(seconds=1)
    queue_wait_max: timedelta = timedelta(seconds=2)  # for a call that is queued at discovery
    # Least time between the starts of two calls of a watch if the first brought nothing new, since discovery
    # may answer without waiting. Below the 200 ms for which discovery keeps a watch open after an answer.
    watch_interval: timedelta = timedelta(milliseconds=100)
    fetch: timedelta = timedelta(seconds=3)  # for a call without a wait: 2 s in the queue, 1 s to arrive
    # Between a failed call and the next: a call that discovery had no room for finds some within its 2 s.
    retry: timedelta = timedelta(milliseconds=500)
    retry_max: timedelta = timedelta(seconds=1)
    # An older list is accepted once only older lists have been received for this long. That is the longest
    # wait that discovery allows a call, so no newer list can still be on its way.
    older_list_wait: timedelta = timedelta(seconds=60)
    # After which a change of the list counts as notified: from when discovery had it and could be reached,
    # and from new settings that name another discovery. Sends may continue for the grace period, less the
    # possible delay between the check and the first byte: a stall of the process and the network transit.
    notified_after: timedelta = timedelta(seconds=6)
    notified_after_move: timedelta = timedelta(seconds=4)
    drain_grace: timedelta = timedelta(milliseconds=400)
    process_stall: timedelta = timedelta(milliseconds=150)
    transit: timedelta = timedelta(milliseconds=50)
    first_list: timedelta = timedelta(seconds=4)  # how long a new process delays being ready
    # After a quiesce: when idle connections begin to be closed, since the front polls ten times a second and
    # goes on for 0.2 s; and how long jobs are accepted, so that 4 s after the quiesce no open job was
    # accepted in the last 2 s.
    drain_settle: timedelta = timedelta(milliseconds=500)
    drain_accept: timedelta = timedelta(milliseconds=1800)
    drain_poll: timedelta = timedelta(milliseconds=100)  # between checks for connections that became idle
    # After SIGTERM: how long jobs are accepted, and by when the last one is answered. A supervisor must wait
    # longer than the latter before it sends SIGKILL.
    shutdown_accept: timedelta = timedelta(milliseconds=2500)
    shutdown_answer: timedelta = timedelta(milliseconds=3600)
    grab_job: timedelta = timedelta(milliseconds=500)  # for a Gearman worker to grab the job chosen for it
    worker_return: timedelta = timedelta(seconds=10)  # after start, for Gearman workers to reconnect
    inventory_poll: timedelta = timedelta(milliseconds=100)  # a change counts once two polls have seen it
    # Gearman unique keys of ended jobs: their number, the size of their results and how long they are kept.
    ended_keys: int = 4096
    ended_key_bytes: int = 8192 * KIB
    ended_key_ttl: timedelta = timedelta(minutes=5)
    busy_retry: timedelta = timedelta(seconds=1)  # sent to refused clients; at most what they honour

    @staticmethod
    def fit(
        sockets: int, memory_mb: int, max_requests: int, connect: timedelta, worker_idle: timedelta, *,
        longest_deadline: timedelta = _LONGEST_DEADLINE, max_retry_after: timedelta = timedelta(seconds=1),
        drain_grace: timedelta = timedelta(milliseconds=400), gearman: bool = False, console: bool = False,
    ) -> "Limits":
        """Divide descriptors and memory, with a reserve for refusals, discovery, the log and the console."""
        reserved = max(4, min(24, sockets // 16)) if console else 0
        usable = max(16, sockets - 64 - reserved)
        clients = usable * 2 // 3
        share = max(1, (memory_mb - 24) // 4) * 1024 * KIB
        return Limits(
            buffered=share // 2 if gearman else share,  # each front has a part
            job_bytes=share,
            console_connections=reserved,
            client_connections=clients // 2 if gearman else clients,
            gearman_connections=clients // 2 if gearman else 0,
            worker_connections=usable - clients,
            # Fewer requests than connections, since a refused client still needs one for its answer.
            requests=max(1, min(max_requests, clients)),
            connect=connect,
            watch_grace=connect,
            drain_grace=drain_grace,
            shutdown_accept=_shutdown_accept(longest_deadline),
            shutdown_answer=_shutdown_answer(longest_deadline),
            worker_idle=min(worker_idle * 2 / 3, timedelta(seconds=10)),
            busy_retry=min(timedelta(seconds=1), max_retry_after),
        )

    def with_settings_times(self, other: "Limits") -> "Limits":
        """Return a copy with the times that ``other`` derives from the settings; they apply at a reload."""
        return replace(self, **{name: getattr(other, name) for name in _FROM_SETTINGS})

    def for_console(self) -> "Limits":
        """Return a copy for the console's listener.

        A connection with an incomplete request makes room for the next at once, silent ones before slow ones:
        a console request arrives with its connection, and slow clients must not cause others to be refused.
        """
        return replace(
            self, client_connections=self.console_connections, body=4 * KIB, buffered=64 * KIB, refusals=2,
            first_byte=timedelta(0), slow=timedelta(0), linger=timedelta(milliseconds=200),
            client_idle=timedelta(seconds=1))

    def for_lists(self) -> "Limits":
        """Return a copy that allows a full worker list as a body."""
        return replace(self, body=self.worker_list)
