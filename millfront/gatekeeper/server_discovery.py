"""Server discovery in one gatekeeper: when it polls the platform, to whom it publishes the list, and whom it
asks for a list that is overdue. No I/O, no clock; docs/design/discovery.md.
"""

from typing import TYPE_CHECKING, Any

from millfront.discovery.polling import PollTiming
from millfront.discovery.server_list import PlatformList, ReadFailure, ServerList
from millfront.discovery.warm_up import NEVER
from millfront.membership.record import Liveness

if TYPE_CHECKING:
    from millfront.gatekeeper.node import Gatekeeper

POLL_KEY = "list"  # the ownership key of polling the platform
LIST, LIST_REQUEST, UNAVAILABLE = "list", "list?", "unlisted"  # kinds of messages
REQUEST_RETRY_S = 0.1  # an unanswered request goes to another member after this
KINDS = frozenset((LIST, LIST_REQUEST, UNAVAILABLE))
Message = dict[str, Any]


class ServerDiscovery:
    """Holds a gatekeeper's list of servers and keeps it up to date."""

    def __init__(self, gatekeeper: "Gatekeeper", incarnation: str, now: float) -> None:
        """:param incarnation: the name of this incarnation of the process"""
        settings = gatekeeper.settings
        self.gatekeeper, self.started = gatekeeper, now
        timing = PollTiming(settings.bounds.drain_within, settings.cloud_rate, settings.cloud_lag)
        self.server_list = ServerList(incarnation, timing, now)
        self.max_list_age_s = 0.0  # since `drain_within` after the start
        self._published_version = 0  # of the list that the data plane was notified of last
        self._requested_at = NEVER  # when the list was last requested from another member
        self._noted_too_old = self._noted_first = False  # as last written to the log

    def poll_position(self) -> int:
        """How many gatekeepers come before this one in the order of polling the platform; 0: the poller."""
        return self.gatekeeper.membership.succession(POLL_KEY).index(self.gatekeeper.name)

    def poller(self) -> str:
        """The member that owns polling the platform, as seen from here."""
        return self.gatekeeper.membership.succession(POLL_KEY)[0]

    def tick(self, now: float) -> None:
        """Poll the platform if it is this process's turn, or request an overdue list from another member."""
        if self.server_list.due(now, self.poll_position):
            self.gatekeeper.io.poll_platform(self.server_list.begin_poll(now))
        elif self.server_list.overdue(now):
            self._request_list()
        if now - self.started > self.gatekeeper.settings.bounds.drain_within:
            self._note_age(now)

    def members_known(self, now: float) -> None:
        """Newer records of members have arrived: a process without a list need not wait for its next tick."""
        if self.server_list.has_list():
            return
        self.server_list.members_known(now)
        if now - self._requested_at >= REQUEST_RETRY_S:
            self._request_list()

    def _request_list(self) -> None:
        """Request the list, if newer, from a random ready member, preferably one with a disk."""
        membership = self.gatekeeper.membership
        serving = [
            record
            for record in membership.live()
            if record is not membership.own_record and record.ready and record.liveness is Liveness.UP
        ]
        with_disk = [record for record in serving if record.identity and record.identity["core"]]
        if serving:
            self._requested_at = self.gatekeeper.now
            member = membership.random.choice(with_disk or serving)
            self.gatekeeper.io.send(member.identity["post"], self.server_list.list_request())  # type: ignore[index]

    def _note_age(self, now: float) -> None:
        """Track the list's age; log once when it becomes too old to route by, or usable again."""
        server_list = self.server_list
        if server_list.has_list():
            self.max_list_age_s = max(self.max_list_age_s, server_list.age(now))
        if (too_old := not server_list.usable(now)) is not self._noted_too_old:
            self._noted_too_old = too_old
            text = f"the list of servers is {'too old' if too_old else 'usable again'}"
            facts = {
                "asker": server_list.poller,
                "number": server_list.list_number,
                "turn": self.poll_position(),
            }
            self.gatekeeper.note("discovery", text, **facts)

    def note_poller(self, now: float) -> None:
        """Write a change of the poller to the event log only."""
        if (first := self.poll_position() == 0) is not self._noted_first:
            self._noted_first = first
            text = f"{'this process' if first else 'another process'} polls the platform"
            self.gatekeeper.event_log.write(now, "discovery", text, fence=self.server_list.list_number)

    def polled(self, now: float, number: int, result: PlatformList | ReadFailure) -> None:
        """Handle the platform's answer to poll `number`, or the reason why there is none."""
        if isinstance(result, ReadFailure):
            update = self.server_list.poll_failed(now, self.poll_position(), result)
        else:
            update = self.server_list.poll_succeeded(now, number, result.entries, result.calls)
        self._notify_servers_changed()
        if update is not None:
            self._publish(update)

    def _publish(self, update: Message) -> None:
        membership = self.gatekeeper.membership
        for record in membership.live():
            if record is not membership.own_record and record.identity is not None:
                self.gatekeeper.io.send(record.identity["post"], update)

    def handle_message(self, now: float, via: Any, message: Message) -> None:
        """Handle a message of `KINDS` from connection `via`; answers go back on it."""
        match message["t"]:
            case kind if kind == UNAVAILABLE:
                self.server_list.handle_unavailable(now, message)
            case kind if kind == LIST_REQUEST:
                if self.server_list.newer_than(message):
                    self.gatekeeper.io.reply(via, self.server_list.full_list(now))
            case _:
                if not self.server_list.handle_list(now, message):
                    self.gatekeeper.io.reply(via, self.server_list.list_request(whole=True))
                self._notify_servers_changed()

    def _notify_servers_changed(self) -> None:
        if self.server_list.version != self._published_version:
            self._published_version = self.server_list.version
            self.gatekeeper.on_servers_changed()
