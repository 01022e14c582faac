"""Admin operations: operators' changes and reads, each over a majority of the core. No I/O, no clock.

For a configuration its revision number is claimed, then the document is stored. For an evacuation the number
of the change is stored, then its new state. A read asks a majority after the call has come. Proofs:
docs/design/control-faults.md. Each call is answered once, with an HTTP status and a text; 503 means that it
may be sent again unchanged.
"""

import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from millfront.control import configuration as configurations
from millfront.control.delivery import Subscriber
from millfront.register import snapshot
from millfront.register.coordinator import Coordinator, Phase, Round
from millfront.register.values import CONFIG, CORE, EVACUATION_COUNT_PREFIX, Core, Value, claim_key

EVACUATION = "evacuation/"
READ_TIMEOUT_S, WRITE_TIMEOUT_S = 2.0, 4.0
EVACUATION_TIMEOUT_S = 4.0  # an evacuation whose state is not being written by then is given up
CLAIM_TIMEOUT_S = 4.0  # for all ballots of a claim together
BACKOFF_S = 0.15  # about the time of a ballot: a losing one waits up to twice as long, more each time
Message = dict[str, Any]
Done = Callable[[int, str], None]  # called once, with an HTTP status and a text


class AdminOperations:
    """Runs the admin operations of a process; base class of `Gatekeeper`."""

    def __init__(self, coordinator: Coordinator, subscriber: Subscriber, now: float, seed: int) -> None:
        self.coordinator, self.subscriber, self.now = coordinator, subscriber, now
        self.random = random.Random(seed)
        # By reference, with what to call at the end
        self.open_rounds: dict[str, tuple[Round, Callable[[Round], None]]] = {}
        self.retries: list[tuple[float, Callable[[], None]]] = []  # ballots that a tick restarts, and when

    # Implemented by the gatekeeper

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""
        raise NotImplementedError

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to the replica of a member, which may be this process itself."""
        raise NotImplementedError

    def _adopt(self, found: dict[str, Value]) -> None:
        raise NotImplementedError

    # ---- changes and reads -------------------------------------------------------------------------

    def put(self, now: float, text: str, done: Done) -> None:
        """Validate and store a configuration; `done` is called once, with a status and a text."""
        self.put_checked(now, configurations.checked(text), done)

    def put_checked(
        self,
        now: float,
        read: Result[configurations.Configuration, configurations.ConfigurationError],
        done: Done,
    ) -> None:
        """Store a configuration that was validated already, perhaps in another thread."""
        match read:
            case Err(fault):
                self.note("admin", f"configuration refused: {fault}")
                done(400, str(fault))
                return
            case Ok(made):
                pass
        value = Value(made.version, made.digest, made.text)
        self._claim(now, value, done, lambda: self._write(self.now, {CONFIG: value}, done))

    def _claim(self, now: float, value: Value, done: Done, then: Callable[[], None]) -> None:
        """Claim a revision number: of all documents under it only the one whose digest a majority accepted
        first is confirmed. Then any process may write that document (docs/design/control-faults.md)."""
        number, deadline = value.version, now + CLAIM_TIMEOUT_S

        def ballot(at: float, ballot_number: int, attempts: int) -> None:
            core, remaining = self.subscriber.core, deadline - at
            if core is None or remaining <= 0.0:
                done(503, "no core is known yet" if core is None else "no majority of the core answers")
                return

            def decided(round: Round) -> None:
                if round.phase is Phase.DONE and round.proposal == value.tie:
                    then()
                elif round.phase is Phase.DONE:
                    self.note(
                        "admin", f"configuration {number:08x} refused: {round.proposal} has its revision"
                    )
                    done(409, f"revision {number:08x} belongs to another document (digest {round.proposal})")
                elif round.claim_expired:
                    self._superseded(number, done)
                elif round.highest_ballot:
                    next_at = self.now + BACKOFF_S * (attempts + 1) * 2.0 * self.random.random()
                    self.retries.append(
                        (next_at, lambda: ballot(self.now, round.highest_ballot + 1, attempts + 1))
                    )
                else:
                    done(503, "no majority of the core answers")

            self.start(
                at,
                self.coordinator.decide(at, core, ballot_number, value.tie, remaining, claim_key(number)),
                decided,
            )

        ballot(now, 1, 0)

    def _superseded(self, number: int, done: Done) -> None:
        """Answer for a revision number so old that no replica knows any more whose it was: a majority has a
        higher one, so that storing this one changes nothing."""

        def read(round: Round) -> None:
            held = round.values.get(CONFIG)
            if round.phase is Phase.DONE and held is not None and held.version > number:
                done(200, "")
            else:
                done(503, "no majority of the core answered the read in time")

        self._read(self.now, [CONFIG], read, lambda: done(503, "no core is known yet"))

    def evacuate(
        self,
        now: float,
        zone: str,
        on: bool,
        done: Done,
        still_waiting: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start or end the evacuation of one zone.

        :param still_waiting: whether the caller still waits for the answer
        """
        self._write_evacuations(now, now, {EVACUATION + zone: "1" if on else "0"}, done, still_waiting)

    def _write_evacuations(
        self, now: float, since: float, states: dict[str, str], done: Done, still_waiting: Callable[[], bool]
    ) -> None:
        """Write new states of evacuations. Reads from a majority how many changes each zone has had, stores
        at a majority that these are the next, then writes them. So a change that starts after another was
        stored anywhere has a higher number, and one that was never confirmed does not reappear above one
        that was confirmed later.

        No two changes are the same value: the tie is the reference of the read. A change that was delayed on
        its way is not started; its operator has sent it elsewhere, and has perhaps reversed it since.

        :param since: when the call came, including what was done for it before
        :param states: "1" or "0", by the keys of evacuations
        """
        count_keys = {key: EVACUATION_COUNT_PREFIX + key.removeprefix(EVACUATION) for key in states}

        def in_time() -> bool:
            return self.now - since < EVACUATION_TIMEOUT_S and still_waiting()

        def read(round: Round) -> None:
            if round.phase is not Phase.DONE or not in_time():
                done(503, "no majority of the core answered the read in time")
                return
            numbers = {key: self._next_number(round, key, count_key) for key, count_key in count_keys.items()}
            values = {key: Value(number, round.ref, states[key]) for key, number in numbers.items()}

            def counts_stored(status: int, reason: str) -> None:
                if status == 200 and in_time():
                    self._write(self.now, values, done)
                else:
                    done(503, reason or "the change was delayed here, and was not started")

            counts = {count_keys[key]: Value(number, round.ref, "") for key, number in numbers.items()}
            self._write(self.now, counts, counts_stored)

        self._read(
            now,
            [*states, *count_keys.values()],
            read,
            lambda: done(503, "no core is known yet"),
        )

    def _next_number(self, round: Round, *keys: str) -> int:
        """One above all versions that a majority or this process has under these keys."""
        found = [round.values[key].version for key in keys if key in round.values]
        return 1 + max([*found, *(self._version(key) for key in keys)])

    def read(self, now: float, done: Done) -> None:
        """Answer with the newest configuration document, read from a majority."""

        def found(round: Round) -> None:
            value = round.values.get(CONFIG)
            if round.phase is not Phase.DONE:
                done(503, "no majority of the core answered the read in time")
            elif value is None:
                done(404, "no configuration has been stored yet")
            else:
                done(200, value.data)

        self._read(now, [CONFIG], found, lambda: done(503, "no core is known yet"))

    def read_all(self, now: float, done: Done) -> None:
        """Answer with a snapshot of the register, read from a majority."""

        def found(round: Round) -> None:
            if round.phase is Phase.DONE:
                done(200, snapshot.dump(round.values))
            else:
                done(503, "no majority of the core answered the read in time")

        self._read(now, None, found, lambda: done(503, "no core is known yet"))

    def restore(
        self, now: float, body: bytes, done: Done, still_waiting: Callable[[], bool] = lambda: True
    ) -> None:
        """Store the contents of a snapshot. A configuration that is held with a higher revision stays. The
        evacuations are changes made now, numbered like any other, once the configuration is stored."""
        match snapshot.load(body.decode(errors="replace")):
            case Err(fault):
                self.note("admin", f"snapshot refused: {fault}")
                done(400, str(fault))
                return
            case Ok(values):
                pass
        evacuations = {key: value.data for key, value in values.items() if key.startswith(EVACUATION)}
        others = {key: value for key, value in values.items() if key not in evacuations}

        def others_stored(status: int, reason: str) -> None:
            if status == 200 and evacuations:
                self._write_evacuations(self.now, now, evacuations, done, still_waiting)
            else:
                done(status, reason)

        if CONFIG in others:
            self._claim(
                now, others[CONFIG], others_stored, lambda: self._write(self.now, others, others_stored)
            )
        elif others or not evacuations:
            self._write(now, others, others_stored)
        else:
            self._write_evacuations(now, now, evacuations, done, still_waiting)

    def _version(self, key: str) -> int:
        held = self.subscriber.values.get(key)
        return held.version if held is not None else 0

    def _read(
        self, now: float, keys: list[str] | None, then: Callable[[Round], None], no_core: Callable[[], None]
    ) -> None:
        if self.subscriber.core is None:
            no_core()
            return
        self.start(now, self.coordinator.read(now, self.subscriber.core, keys, READ_TIMEOUT_S), then)

    def _write(self, now: float, values: dict[str, Value], done: Done) -> None:
        def written(round: Round) -> None:
            if round.phase is Phase.DONE:
                done(200, "")
            else:
                done(503, "no majority of the core has stored it yet")

        if self.subscriber.core is None:
            done(503, "no core is known yet")
            return
        self.start(now, self.coordinator.write(now, self.subscriber.core, values, WRITE_TIMEOUT_S), written)

    def start(self, now: float, round: Round, then: Callable[[Round], None]) -> None:
        """Drive a round until it is done or has failed, then call ``then`` with it, once."""
        self.open_rounds[round.ref] = (round, then)
        self._drive(now, round)

    def _drive(self, now: float, round: Round) -> None:
        """Send the messages of a round; when it has ended, adopt the values found and notify its caller."""
        self.now = now
        for name, message in self.coordinator.drive(now, round):
            self.send_to_replica(now, name, round.core.all_members[name], message)
        if round.phase in (Phase.DONE, Phase.FAILED) and round.ref in self.open_rounds:
            _, then = self.open_rounds.pop(round.ref)
            if round.phase is Phase.DONE:
                self._adopt(round.values)
            then(round)

    def tick_rounds(self, now: float) -> None:
        """Every tick: continue open rounds, and restart ballots that had to wait."""
        for round, _ in list(self.open_rounds.values()):
            self._drive(now, round)
        due = [begin for at, begin in self.retries if at <= now]
        self.retries = [(at, begin) for at, begin in self.retries if at > now]
        for begin in due:
            begin()

    def renew_rounds(self, core: Core) -> None:
        """The core has changed: open rounds go on with the new one."""
        for round, then in list(self.open_rounds.values()):
            if round.core.epoch < core.epoch and (
                round.phase in (Phase.READING, Phase.WRITING) or round.decision_key != CORE
            ):
                if CORE in round.values and round.phase is Phase.WRITING:
                    continue  # it writes a core, which replicas accept whatever core they are in
                del self.open_rounds[round.ref]
                self.coordinator.restart(round, core)
                self.open_rounds[round.ref] = (round, then)
