"""The sizes, counts and times that bound the program: one frozen value, filled at start and handed down."""

from dataclasses import dataclass, replace
from datetime import timedelta

KIB = 1024
_LONGEST = timedelta(seconds=3)  # deadlines above it count as this much when a planned restart is timed
_KILL = timedelta(milliseconds=700)  # past the longest deadline, the earliest that SIGKILL follows SIGTERM
_SPARE = timedelta(milliseconds=100)  # kept before that, for the last answers to be read
_LAST = timedelta(milliseconds=1100)  # what a job taken last is given; the longest deadline if that is less


# The times that follow from the settings.
_PACED = ("serve_on", "answer_by", "connect", "watch_grace", "worker_idle", "busy_retry", "drain_grace")


def _answer_by(longest: timedelta) -> timedelta:
    """Return when the last answer goes out after SIGTERM, for classes whose longest deadline is this."""
    return min(longest, _LONGEST) + _KILL - _SPARE


def _serve_on(longest: timedelta) -> timedelta:
    """Return how long jobs are taken after SIGTERM: all that leaves the last one its time."""
    return _answer_by(longest) - min(longest, _LAST)


@dataclass(slots=True, frozen=True)
class Limits:
    """Everything that is bounded, and by how much."""

    # Sizes in bytes.
    body: int = 64 * KIB
    buffered: int = 16 * 1024 * KIB  # of requests that have not come whole, over all connections
    unread: int = 1024 * KIB  # written to a Gearman connection and not yet taken
    behind: int = 1024 * KIB  # read and dropped of what a client sends on while its request is in hand
    worker_list: int = 1024 * KIB
    head: int = 16 * KIB
    read: int = 64 * KIB  # taken from a connection at once; its buffer holds four of these
    chunk_line: int = 64  # a chunk's size, its extensions included
    admin_line: int = 1 * KIB
    inventory: int = 1024 * KIB
    headers: int = 64
    name: int = 512  # of a Gearman function, worker or unique key
    # Counts. A connection to the scheduler carries one request at a time.
    client_connections: int = 500
    refusals: int = 32  # connections over the limit that are still answered
    gearman_connections: int = 0
    console_connections: int = 16  # set aside: clients cannot take them
    worker_connections: int = 300
    idle_per_worker: int = 16
    requests: int = 1000
    backlog: int = 512  # connections that the system holds for us
    accepts: int = 32  # in one turn of the loop, so that a crowd leaves the others theirs
    slots: int = 1024  # that one job may need
    taken: int = 4096  # ids of requests that have ended, remembered against their reuse
    returned: int = 4096  # jobs handed back by call-back that are remembered
    group_depth: int = 16  # of an inventory's groups
    abilities: int = 256  # functions that one Gearman worker can do
    # How long before the client's deadline the scheduler stops waiting, so that its answer still arrives.
    answer_margin: timedelta = timedelta(milliseconds=25)
    connect: timedelta = timedelta(milliseconds=250)
    accept: timedelta = timedelta(seconds=1)  # for a worker to take a job or to report on it
    probe: timedelta = timedelta(milliseconds=500)
    give_up: timedelta = timedelta(seconds=1)  # how long a DELETE may take
    worker_idle: timedelta = timedelta(seconds=5)  # well before the worker closes the connection itself
    client_idle: timedelta = timedelta(seconds=120)
    # For one request's bytes, the first counted from the connection's start. A silent or unreadable client is
    # owed an end within 3 s; a sweep comes late by its period at most.
    client_read: timedelta = timedelta(seconds=2)
    client_take: timedelta = timedelta(seconds=10)  # for taking one answer's bytes
    first_byte: timedelta = timedelta(milliseconds=100)  # after which a silent new connection can make room
    slow: timedelta = timedelta(seconds=1)  # after which one slow to send can make room
    drain_pause: timedelta = timedelta(milliseconds=10)  # between reads of what nobody wants any more
    linger: timedelta = timedelta(seconds=1)  # for a peer to read the last answer before the close
    accept_pause: timedelta = timedelta(milliseconds=50)  # where accepting failed for want of descriptors
    sweep: timedelta = timedelta(milliseconds=500)  # between looks for connections to be ended
    # A watch's calls wait for a time drawn from between these. Each answer renews the lease on the list from
    # when its call was made, and a silence is noticed at the end of a wait: the shorter, the more of the
    # lease is left for a call that opens the watch anew.
    watch_least: timedelta = timedelta(seconds=1)
    watch_most: timedelta = timedelta(seconds=1.5)
    watch_grace: timedelta = timedelta(milliseconds=250)  # past the wait, for the answer to arrive
    # For which a watch that seems to have fallen silent is still listened to: discovery that goes down may
    # end it a little later.
    late_answer: timedelta = timedelta(seconds=1)
    longest_turn: timedelta = timedelta(seconds=2)  # for which a call may wait for its turn at discovery
    # Between the starts of two calls of a watch, where the first told nothing newer: discovery may answer it
    # without waiting. Under the 200 ms for which a watch goes on after an answer.
    watch_pace: timedelta = timedelta(milliseconds=100)
    fetch: timedelta = timedelta(seconds=3)  # for a call that does not wait: 2 s for its turn, 1 s to arrive
    # Between a failed call and the next: one that discovery had no room for finds some within its 2 s.
    retry: timedelta = timedelta(milliseconds=500)
    retry_most: timedelta = timedelta(seconds=1)
    # For which only lists older than the one held must have come until one is taken: the longest that
    # discovery lets a call wait, so that nothing newer is still on its way.
    older: timedelta = timedelta(seconds=60)
    # After which a change of the list counts as notified: from when discovery had it and could be reached,
    # and from new settings that name another discovery. Sends may go on for the grace, less what may lie
    # between the check and the first byte: a hold-up of the process and the way through the network.
    notified_after: timedelta = timedelta(seconds=6)
    notified_after_move: timedelta = timedelta(seconds=4)
    drain_grace: timedelta = timedelta(milliseconds=400)
    stall: timedelta = timedelta(milliseconds=150)
    transit: timedelta = timedelta(milliseconds=50)
    first_list: timedelta = timedelta(seconds=4)  # for which a new process puts off being ready
    # After a quiesce: when idle connections begin to be ended, since the front asks ten times a second and
    # goes on for 0.2 s; and how long jobs are taken, so that 4 s after it none of the last 2 s is held.
    drain_settle: timedelta = timedelta(milliseconds=500)
    drain_take: timedelta = timedelta(milliseconds=1800)
    drain_look: timedelta = timedelta(milliseconds=100)  # between looks for connections that have become idle
    # After SIGTERM: how long jobs are taken on, and by when the last of them is answered. A supervisor that
    # waits for less than the second before it kills must be told to wait for longer.
    serve_on: timedelta = timedelta(milliseconds=2500)
    answer_by: timedelta = timedelta(milliseconds=3600)
    grab: timedelta = timedelta(milliseconds=500)  # for a Gearman worker to ask for what was chosen for it
    settle: timedelta = timedelta(seconds=10)  # after our start, for workers that only come back to us
    poll: timedelta = timedelta(milliseconds=100)  # between looks at the inventory; two make a change count
    # Unique keys that have ended.
    remembered: int = 4096
    remembered_bytes: int = 8192 * KIB
    remembered_for: timedelta = timedelta(minutes=5)
    busy_retry: timedelta = timedelta(seconds=1)  # told to clients turned away; no more than they honour

    @staticmethod
    def fit(
        sockets: int, memory_mb: int, most_held: int, connect: timedelta, worker_idle: timedelta, *,
        longest: timedelta = _LONGEST, most_wait: timedelta = timedelta(seconds=1),
        drain_grace: timedelta = timedelta(milliseconds=400), gearman: bool = False, console: bool = False,
    ) -> "Limits":
        """Share out descriptors and memory, keeping some for refusals, discovery, the log and the console."""
        apart = max(4, min(24, sockets // 16)) if console else 0
        usable = max(16, sockets - 64 - apart)
        clients = usable * 2 // 3
        return Limits(
            buffered=max(1, (memory_mb - 24) // 4) * 1024 * KIB,
            console_connections=apart,
            client_connections=clients // 2 if gearman else clients,
            gearman_connections=clients // 2 if gearman else 0,
            worker_connections=usable - clients,
            # A refused connection still takes its answer: open requests stay under the connections.
            requests=max(1, min(most_held, clients)),
            connect=connect,
            watch_grace=connect,
            drain_grace=drain_grace,
            serve_on=_serve_on(longest),
            answer_by=_answer_by(longest),
            worker_idle=min(worker_idle * 2 / 3, timedelta(seconds=10)),
            busy_retry=min(timedelta(seconds=1), most_wait),
        )

    def paced_as(self, other: "Limits") -> "Limits":
        """Return the same with the other's times that stand in the settings: those are followed at once."""
        return replace(self, **{name: getattr(other, name) for name in _PACED})

    def for_console(self) -> "Limits":
        """Return the same for the console's listener.

        A caller that has not said all makes room for the next at once, the silent before the slow: what one
        has to say comes with its connection, and a crowd of slow ones must not have an honest one refused.
        """
        return replace(
            self, client_connections=self.console_connections, body=4 * KIB, buffered=64 * KIB, refusals=2,
            first_byte=timedelta(0), slow=timedelta(0), linger=timedelta(milliseconds=200),
            client_idle=timedelta(seconds=1))

    def for_lists(self) -> "Limits":
        """Return the same with room for a whole worker list as the body."""
        return replace(self, body=self.worker_list)
