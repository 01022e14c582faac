"""The plan book over the admin API: GET and PUT /v1/plans, with entity tags against lost updates.

A PUT wants `If-Match` with the tag of the book that it was made on (RFC 9110, 13.1.1), or `If-None-Match: *`
where there is none yet. 428: neither was given (RFC 6585, 3). 412: another book is there by now. 422: the
book has faults, all of them named. 507: the disk did not take it; the old book goes on.
"""

import anyio.to_thread

from millfront.node.http import Message
from millfront.operators.admin import Admin, Reply, json_reply
from millfront.operators.faults import InvalidDocument
from millfront.plans.part import LivePlans
from millfront.plans.store import Conflict


class PlansApi:
    def __init__(self, plans: LivePlans) -> None:
        self.plans = plans

    def at(self, admin: Admin) -> None:
        admin.routes[b"/v1/plans"] = {b"GET": self.get, b"PUT": self.put}

    async def get(self, call: Message) -> Reply:
        text, tag = await anyio.to_thread.run_sync(self.plans.store.read)
        if not tag:
            return json_reply(404, {"error": "there is no plan book yet"})
        held = self.plans.compiled
        in_force = b"%d" % (held.version if held is not None else 0)
        return Reply(200, text, [(b"ETag", tag.encode()), (b"Millfront-In-Force", in_force)])

    async def put(self, call: Message) -> Reply:
        expected = call.field(b"if-match")
        if expected is None and call.field(b"if-none-match") != b"*":
            return json_reply(428, {"error": "If-Match, or If-None-Match: *, is wanted"})
        try:
            book = await self.plans.sound(call.body)
            held = self.plans.compiled
            if held is not None and book.version <= held.version:
                raise Conflict(f"version {book.version} does not go up; {held.version} is in force")
            was = (expected or b"").decode("latin-1")
            tag = await anyio.to_thread.run_sync(self.plans.store.write, call.body, book.version, was)
            late = await self.plans.apply(book, tag)
        except InvalidDocument as wrong:
            return json_reply(422, {"error": "the book has faults", "faults": [str(f) for f in wrong.faults]})
        except Conflict as wrong:
            return json_reply(412, {"error": str(wrong)})
        except OSError as wrong:
            return json_reply(507, {"error": f"not written: {wrong.strerror}"})
        told = {"version": book.version, "late_s": late.most_us / 1e6}
        return json_reply(200, told, [(b"ETag", tag.encode())])
