"""Admin operations: operators' changes and reads, each over a majority of the core. No I/O, no clock.

A configuration's number is claimed, then the document is stored; an evacuation has its turn (a number) made
known, then its new state is stored; what is read is read from a majority since the call came. Proofs:
docs/design/control-faults.md. An answer is told once: a status of HTTP and a text. 503 says that it may be
sent again unchanged.
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
EVACUATION_TIMEOUT_S = 4.0  # an evacuation that was not begun to be written by then is not
CLAIM_TIMEOUT_S = 4.0  # for a claim, all its ballots together
BACKOFF_S = 0.15  # about what a ballot takes: one that gave way waits up to twice as long, more each time
Message = dict[str, Any]
Done = Callable[[int, str], None]  # told a status and a text, once


class AdminOperations:
    """The part of a process that runs admin operations; `Gatekeeper` puts it together with the rest."""

    def __init__(self, coordinator: Coordinator, subscriber: Subscriber, now: float, seed: int) -> None:
        self.coordinator, self.subscriber, self.now = coordinator, subscriber, now
        self.random = random.Random(seed)
        self.open_rounds: dict[str, tuple[Round, Callable[[Round], None]]] = {}  # rounds under way
        self.retries: list[tuple[float, Callable[[], None]]] = []  # what a beat begins anew, and when

    # What the process does for it

    def note(self, part: str, text: str, **facts: Any) -> None:
        """Write an entry to the event log and a line to the log."""
        raise NotImplementedError

    def send_to_replica(self, now: float, name: str, address: str, message: Message) -> None:
        """Send a message to the replica of that member, which may be this process itself."""
        raise NotImplementedError

    def _adopt(self, found: dict[str, Value]) -> None:
        raise NotImplementedError

    # ---- changes and reads -------------------------------------------------------------------------

    def put(self, now: float, text: str, done: Done) -> None:
        """A configuration; `done` is told a status and a text, once."""
        self.put_checked(now, configurations.checked(text), done)

    def put_checked(
        self,
        now: float,
        read: Result[configurations.Configuration, configurations.ConfigurationError],
        done: Done,
    ) -> None:
        """One that was read, perhaps in a thread of its own."""
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
        """Of a revision number one document is confirmed: whoever's digest a majority has accepted first.
        Then the document may be written, by anybody who sends it (docs/design/control-faults.md)."""
        number, until = value.version, now + CLAIM_TIMEOUT_S

        def ballot(at: float, height: int, tries: int) -> None:
            core, left = self.subscriber.core, until - at
            if core is None or left <= 0.0:
                done(503, "no core is known yet" if core is None else "no majority of the core answers")
                return

            def decided(round: Round) -> None:
                if round.phase is Phase.DONE and round.proposal == value.tie:
                    then()
                elif round.phase is Phase.DONE:
                    self.note("admin", f"configuration {number:08x} refused: {round.proposal} has its number")
                    done(409, f"revision {number:08x} was given to another document ({round.proposal})")
                elif round.claim_expired:
                    self._superseded(number, done)
                elif round.highest_ballot:
                    again = self.now + BACKOFF_S * (tries + 1) * 2.0 * self.random.random()
                    self.retries.append(
                        (again, lambda: ballot(self.now, round.highest_ballot + 1, tries + 1))
                    )
                else:
                    done(503, "no majority of the core answers")

            self.start(
                at, self.coordinator.decide(at, core, height, value.tie, left, claim_key(number)), decided
            )

        ballot(now, 1, 0)

    def _superseded(self, number: int, done: Done) -> None:
        """A configuration under a number that lies so far back that nobody knows whose it was: a majority
        has a higher one, so that it changes nothing."""

        def read(round: Round) -> None:
            held = round.values.get(CONFIG)
            if round.phase is Phase.DONE and held is not None and held.version > number:
                done(200, "")
            else:
                done(503, "the registry can't be read now")

        self._read(self.now, [CONFIG], read, lambda: done(503, "no core is known yet"))

    def evacuate(
        self,
        now: float,
        zone: str,
        on: bool,
        done: Done,
        still_waiting: Callable[[], bool] = lambda: True,
    ) -> None:
        """One word on one zone, as `_order` writes it.

        :param still_waiting: whether whoever ordered it still waits for the answer
        """
        self._write_evacuations(now, now, {EVACUATION + zone: "1" if on else "0"}, done, still_waiting)

    def _write_evacuations(
        self, now: float, since: float, states: dict[str, str], done: Done, still_waiting: Callable[[], bool]
    ) -> None:
        """Read from a majority how many words on each zone there were, make known to one that these are the
        next (their turns), then write them: whoever begins after one was stored anywhere is above it, so that
        a change that nobody confirmed does not come up again above one that was confirmed later.

        No two changes are one value: the tie is the read's reference. One that came to a halt on its way is
        not begun; its operator has sent it elsewhere, and has perhaps taken it back since.

        :param since: when the call came, whatever was done for it before this
        :param states: by the keys of evacuations
        """
        turns = {key: EVACUATION_COUNT_PREFIX + key.removeprefix(EVACUATION) for key in states}

        def in_time() -> bool:
            return self.now - since < EVACUATION_TIMEOUT_S and still_waiting()

        def read(round: Round) -> None:
            if round.phase is not Phase.DONE or not in_time():
                done(503, "the registry can't be read now")
                return
            numbers = {key: self._next_number(round, key, turn) for key, turn in turns.items()}
            values = {key: Value(number, round.ref, states[key]) for key, number in numbers.items()}

            def turns_known(status: int, reason: str) -> None:
                if status == 200 and in_time():
                    self._write(self.now, values, done)
                else:
                    done(503, reason or "the order was late here")

            turn_values = {turns[key]: Value(number, round.ref, "") for key, number in numbers.items()}
            self._write(self.now, turn_values, turns_known)

        self._read(now, [*states, *turns.values()], read, lambda: done(503, "no core is known yet"))

    def _next_number(self, round: Round, *keys: str) -> int:
        """Above all that a majority or this process has under these keys."""
        found = [round.values[key].version for key in keys if key in round.values]
        return 1 + max([*found, *(self._version(key) for key in keys)])

    def read(self, now: float, done: Done) -> None:
        """The newest configuration, whole, from a majority."""

        def found(round: Round) -> None:
            value = round.values.get(CONFIG)
            if round.phase is not Phase.DONE:
                done(503, "the registry can't be read now")
            elif value is None:
                done(404, "no configuration has been taken yet")
            else:
                done(200, value.data)

        self._read(now, [CONFIG], found, lambda: done(503, "no core is known yet"))

    def read_all(self, now: float, done: Done) -> None:
        """A snapshot of the register, from a majority."""

        def found(round: Round) -> None:
            if round.phase is Phase.DONE:
                done(200, snapshot.dump(round.values))
            else:
                done(503, "the registry can't be read now")

        self._read(now, None, found, lambda: done(503, "no core is known yet"))

    def restore(
        self, now: float, body: bytes, done: Done, still_waiting: Callable[[], bool] = lambda: True
    ) -> None:
        """Put what a snapshot holds. A configuration that is held higher already stays; the evacuations are
        an order given now, with turns like any other (`_order`), once the configuration is held."""
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
                done(503, "no majority of the core has it yet")

        if self.subscriber.core is None:
            done(503, "no core is known yet")
            return
        self.start(now, self.coordinator.write(now, self.subscriber.core, values, WRITE_TIMEOUT_S), written)

    def start(self, now: float, round: Round, then: Callable[[Round], None]) -> None:
        """Drive a round until it is done or failed, then call ``then`` with it, once."""
        self.open_rounds[round.ref] = (round, then)
        self._drive(now, round)

    def _drive(self, now: float, round: Round) -> None:
        """Send what the round wants; when it has ended, what it found is held and whoever waits is told."""
        self.now = now
        for name, message in self.coordinator.drive(now, round):
            self.send_to_replica(now, name, round.core.all_members[name], message)
        if round.phase in (Phase.DONE, Phase.FAILED) and round.ref in self.open_rounds:
            _, then = self.open_rounds.pop(round.ref)
            if round.phase is Phase.DONE:
                self._adopt(round.values)
            then(round)

    def tick_rounds(self, now: float) -> None:
        """Every beat: what is under way goes on, what gave way begins anew."""
        for round, _ in list(self.open_rounds.values()):
            self._drive(now, round)
        due = [begin for at, begin in self.retries if at <= now]
        self.retries = [(at, begin) for at, begin in self.retries if at > now]
        for begin in due:
            begin()

    def renew_rounds(self, core: Core) -> None:
        """The core has changed: what is under way goes on with the new one."""
        for round, then in list(self.open_rounds.values()):
            if round.core.epoch < core.epoch and (
                round.phase in (Phase.READING, Phase.WRITING) or round.decision_key != CORE
            ):
                if CORE in round.values and round.phase is Phase.WRITING:
                    continue  # the writing of a core itself, which its replicas take whatever theirs is
                del self.open_rounds[round.ref]
                self.coordinator.restart(round, core)
                self.open_rounds[round.ref] = (round, then)
