"""One gatekeeper's part in knowing which servers there are: when it asks the platform, whom it tells, and
whom it asks for a list that is late. No I/O, no clock; docs/design/discovery.md.
"""

from typing import TYPE_CHECKING, Any

from millfront.discovery.polling import PollTiming
from millfront.discovery.server_list import NEVER, PlatformList, ReadFailure, ServerList
from millfront.membership.record import Liveness

if TYPE_CHECKING:
    from millfront.gatekeeper.node import Gatekeeper

POLL_KEY = "list"  # the key of asking the platform
LIST, LIST_REQUEST, UNAVAILABLE = "list", "list?", "unlisted"  # the kinds of messages
REQUEST_RETRY_S = 0.1  # a question that was not answered goes to another one
KINDS = frozenset((LIST, LIST_REQUEST, UNAVAILABLE))
Message = dict[str, Any]


class ServerDiscovery:
    """The list of servers that a gatekeeper holds, and how it is kept in time."""

    def __init__(self, gatekeeper: "Gatekeeper", incarnation: str, now: float) -> None:
        """:param incarnation: the name of this incarnation of the process"""
        settings = gatekeeper.settings
        self.gatekeeper, self.started = gatekeeper, now
        timing = PollTiming(settings.bounds.drain_within, settings.cloud_rate)
        self.server_list = ServerList(incarnation, timing, now)
        self.max_list_age_s = 0.0  # the greatest age of the list, from `drain_within` after the start on
        self._published_version = 0  # the version that the data plane was told of last
        self._requested_at = NEVER
        self._noted_too_old = self._noted_first = False  # as last noted

    def poll_position(self) -> int:
        """How many gatekeepers ask the platform before this one does."""
        return self.gatekeeper.membership.succession(POLL_KEY).index(self.gatekeeper.name)

    def poller(self) -> str:
        """Whose duty it is to ask the platform, as seen from here."""
        return self.gatekeeper.membership.succession(POLL_KEY)[0]

    def tick(self, now: float) -> None:
        """Ask the platform at this one's turn; a list that is late here may be had from others."""
        if self.server_list.due(now, self.poll_position):
            self.gatekeeper.io.poll_platform(self.server_list.begin_poll(now))
        elif self.server_list.overdue(now):
            self._request_list()
        if now - self.started > self.gatekeeper.settings.bounds.drain_within:
            self._note_age(now)

    def members_known(self, now: float) -> None:
        """There is word of other gatekeepers: who has no list yet need not wait for its next beat."""
        if self.server_list.has_list():
            return
        self.server_list.members_known(now)
        if now - self._requested_at >= REQUEST_RETRY_S:
            self._request_list()

    def _request_list(self) -> None:
        """One that serves clients, with a disk if there are such, hands over its list if it is newer."""
        membership = self.gatekeeper.membership
        serving = [
            record
            for record in membership.live()
            if record is not membership.own_record and record.ready and record.liveness is Liveness.UP
        ]
        with_disk = [record for record in serving if record.identity and record.identity["core"]]
        if serving:
            self._requested_at = self.gatekeeper.now
            asked = membership.random.choice(with_disk or serving)
            self.gatekeeper.io.send(asked.identity["post"], self.server_list.list_request())  # type: ignore[index]

    def _note_age(self, now: float) -> None:
        """In the log, once each time that the list is too old to send by, or in time again."""
        held = self.server_list
        if held.has_list():
            self.max_list_age_s = max(self.max_list_age_s, held.age(now))
        if (too_old := not held.usable(now)) is not self._noted_too_old:
            self._noted_too_old = too_old
            text = f"the list of servers is {'too old' if too_old else 'in time again'}"
            facts = {"asker": held.poller, "number": held.list_number, "turn": self.poll_position()}
            self.gatekeeper.note("discovery", text, **facts)

    def note_poller(self, now: float) -> None:
        """For the event log alone: whose the duty is."""
        if (first := self.poll_position() == 0) is not self._noted_first:
            self._noted_first = first
            text = f"the list of servers is {'this one' if first else 'another'}'s duty"
            self.gatekeeper.event_log.write(now, "discovery", text, fence=self.server_list.list_number)

    def polled(self, now: float, number: int, found: PlatformList | ReadFailure) -> None:
        """The platform's answer to the read of that number, or why there is none."""
        if isinstance(found, ReadFailure):
            news = self.server_list.poll_failed(now, self.poll_position(), found)
        else:
            news = self.server_list.poll_succeeded(now, number, found.entries, found.calls)
        self._notify_servers_changed()
        if news is not None:
            self._publish(news)

    def _publish(self, news: Message) -> None:
        membership = self.gatekeeper.membership
        for record in membership.live():
            if record is not membership.own_record and record.identity is not None:
                self.gatekeeper.io.send(record.identity["post"], news)

    def handle_message(self, now: float, via: Any, message: Message) -> None:
        """A message of `KINDS` on a held connection; answers go back on it."""
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
