"""The plan book over the admin API: GET and PUT /v1/plans, with entity tags against lost updates.

A PUT requires `If-Match` with the tag of the book it is based on (RFC 9110, 13.1.1), or `If-None-Match: *`
if there is no book yet. 428: neither field was sent (RFC 6585, 3). 412: the book has changed meanwhile.
422: the book is invalid; the answer lists every fault. 507: the disk write failed; the old book stays in
force.
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

    def add_routes(self, admin: Admin) -> None:
        admin.routes[b"/v1/plans"] = {b"GET": self.get, b"PUT": self.put}

    async def get(self, call: Message) -> Reply:
        text, tag = await anyio.to_thread.run_sync(self.plans.store.read)
        if not tag:
            return json_reply(404, {"error": "there is no plan book yet"})
        current = self.plans.compiled
        in_force = b"%d" % (current.version if current is not None else 0)
        return Reply(200, text, [(b"ETag", tag.encode()), (b"Millfront-In-Force", in_force)])

    async def put(self, call: Message) -> Reply:
        expected = call.field(b"if-match")
        if expected is None and call.field(b"if-none-match") != b"*":
            return json_reply(428, {"error": "If-Match, or If-None-Match: *, is required"})
        try:
            book = await self.plans.validate(call.body)
            current = self.plans.compiled
            if current is not None and book.version <= current.version:
                raise Conflict(f"version {book.version} does not go up; {current.version} is in force")
            expected_tag = (expected or b"").decode("latin-1")
            tag = await anyio.to_thread.run_sync(
                self.plans.store.write, call.body, book.version, expected_tag
            )
            lateness = await self.plans.apply(book, tag)
        except InvalidDocument as error:
            return json_reply(422, {"error": "the book has faults", "faults": [str(f) for f in error.faults]})
        except Conflict as error:
            return json_reply(412, {"error": str(error)})
        except OSError as error:
            return json_reply(507, {"error": f"the book could not be written: {error.strerror}"})
        result = {"version": book.version, "late_s": lateness.max_us / 1e6}
        return json_reply(200, result, [(b"ETag", tag.encode())])
