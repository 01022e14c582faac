"""HTTP/1.1 on bytes, both roles: a fast path for messages in their usual form, and h11 for all others.

The fast path takes only what can be read one way: a request line or status line and fields in canonical
form, one Content-Length or none, nothing that speaks of the connection beyond `keep-alive`. Whatever else
comes, from its first byte on, goes to h11, whose strictness stays the rule. No I/O.
"""

import re
from http import HTTPStatus
from typing import Any

import h11

from millfront.node.endings import Ended, Ending
from millfront.node.http import (
    FRAMING,
    MOST_AHEAD,
    MOST_BODY,
    MOST_HEAD,
    MOST_STREAMED,
    Fields,
    Message,
)
from millfront.node.stages.take_in import NotTaken

FIELDS = rb"((?:[A-Za-z0-9-]+: [!-~](?:[ -~]*[!-~])?\r\n)*)\r\n"
REQUEST = re.compile(rb"(GET|POST) (/[!-~]*) HTTP/1\.1\r\n" + FIELDS)
ANSWER = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9]) [ -~]*\r\n" + FIELDS)
FIELD = re.compile(rb"([A-Za-z0-9-]+): ([!-~](?:[ -~]*[!-~])?)\r\n")
LENGTH = re.compile(rb"[0-9]{1,8}")
# Fields that change how a message is read or what comes after it: not for the fast path.
SPECIAL = frozenset((b"connection", b"expect", b"te", b"trailer", b"transfer-encoding", b"upgrade"))
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
STATUS_LINES = {code: b"HTTP/1.1 %d %s\r\n" % (code, reason) for code, reason in REASONS.items()}


def parsed_fields(block: bytes) -> tuple[Fields, Fields, int | None, int] | None:
    """Fields as (lower-case, as they came), the content length and the number of hosts; None: not for the
    fast path."""
    raw: Fields = FIELD.findall(block)
    fields = [(name.lower(), value) for name, value in raw]
    names = [name for name, _ in fields]
    if not SPECIAL.isdisjoint(names):
        spoken = [field for field in fields if field[0] in SPECIAL]
        if any(name != b"connection" or value.lower() != b"keep-alive" for name, value in spoken):
            return None
    length = None
    if b"content-length" in names:
        value = fields[names.index(b"content-length")][1]
        if names.count(b"content-length") > 1 or not LENGTH.fullmatch(value):
            return None
        length = int(value)
    return fields, raw, length, names.count(b"host")


def may_begin(data: bytes, *beginnings: bytes) -> bool:
    """Whether a head that is not whole yet may still be one for the fast path."""
    begins = any(data.startswith(b) or b.startswith(data) for b in beginnings)
    return begins and len(data) <= MOST_HEAD and data.count(b"\n") == data.count(b"\r\n")


ABSOLUTE = re.compile(rb"https?://[^/?#@]*(?=[/?]|$)", re.IGNORECASE)


def origin_form(target: bytes) -> bytes:
    """RFC 9112, 3.2.2: a server takes the absolute form too; what goes on is its path and query."""
    found = ABSOLUTE.match(target)
    return target if found is None else target[found.end() :] or b"/"


LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


TOO_LONG = f"an answer of over {MOST_STREAMED} bytes"


class Requests:
    """What a client sends, one request after another, and the bytes that answer it."""

    __slots__ = (
        "_body",
        "_buffer",
        "_chunked",
        "_h11",
        "_head",
        "_headless",
        "_left",
        "_most",
        "_request",
        "_size",
        "under_way",
    )

    def __init__(self, most: int = MOST_STREAMED) -> None:
        """:param most: bytes of a body"""
        self._most = most
        self.under_way = False  # a body whose beginning was taken by next(); the rest is for piece()
        self._left = 0  # bytes of it that are to come, on the fast path
        self._size = 0  # bytes of it that came, on h11
        self._chunked = False  # the answer under way
        self._buffer = b""
        self._head: tuple[tuple[bytes, bytes], Fields, Fields, int, int] | None = None
        self._h11: h11.Connection | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._headless = False

    @property
    def buffered(self) -> int:
        """Bytes that are not taken yet."""
        return len(self._h11.trailing_data[0]) if self._h11 is not None else len(self._buffer)

    @property
    def in_body(self) -> bool:
        """A head has come whole, and its body has not."""
        return self._head is not None or self._request is not None

    @property
    def asks_to_go_on(self) -> bool:
        """Whether the client waits for 100 (Continue) before its body (RFC 9110, 10.1.1)."""
        return self._h11 is not None and self._h11.they_are_waiting_for_100_continue

    def feed(self, data: bytes) -> None:
        if self._h11 is not None:
            self._h11.receive_data(data)
        else:
            self._buffer = self._buffer + data if self._buffer else data

    def next(self) -> Message | None:
        """A request that is whole, or none yet.

        :raises NotTaken: it can't be read to its end; nothing more can be taken from this connection
        """
        if self._h11 is None:
            if (found := self._fast()) is not None:
                return found
            if self._h11 is None:
                return None
        try:
            return self._slow(self._h11)
        except h11.RemoteProtocolError as wrong:
            raise NotTaken(wrong.error_status_hint, str(wrong)) from None

    def _fast(self) -> Message | None:
        buffer = self._buffer
        if not buffer:
            return None
        if self._head is None:
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                if not may_begin(buffer, b"GET /", b"POST /"):
                    self._hand_over()
                return None
            match = REQUEST.match(buffer)
            read = None
            if match is not None and match.end() == end + 4 <= MOST_HEAD:
                read = parsed_fields(match[3])
            if match is None or read is None or read[3] != 1 or (read[2] or 0) > self._most:
                self._hand_over()
                return None
            fields, raw, length, _ = read
            self._head = ((match[1], match[2]), fields, raw, length or 0, end + 4)
        start, fields, raw, size, at = self._head
        if len(buffer) < at + size:
            if size <= MOST_BODY:
                return None
            self._head, self._headless, self._buffer = None, False, b""
            self._left, self.under_way = at + size - len(buffer), True
            return Message(start, fields, raw, buffer[at:], more=True, length=size)
        self._head = None
        self._headless = False
        self._buffer = buffer[at + size :]
        return Message(start, fields, raw, buffer[at : at + size])

    def _hand_over(self) -> None:
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self._h11.receive_data(self._buffer)
        self._buffer, self._head = b"", None

    def piece(self) -> bytes:
        """What has come of the body under way.

        :raises NotTaken: the rest of it can't be read
        """
        if self._h11 is None:
            data, self._buffer = self._buffer[: self._left], self._buffer[self._left :]
            self._left -= len(data)
            self.under_way = self._left > 0
            return data
        try:
            while self.under_way:
                event = self._h11.next_event()
                if isinstance(event, h11.Data):
                    self._take(event)
                elif isinstance(event, h11.EndOfMessage):
                    self.under_way, self._request = False, None
                else:
                    break
        except h11.RemoteProtocolError as wrong:
            raise NotTaken(wrong.error_status_hint, str(wrong)) from None
        data, self._body = bytes(self._body), bytearray()
        return data

    def _slow(self, connection: h11.Connection) -> Message | None:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
            if (found := self._take(event)) is not None:
                return found

    def _take(self, event: Any) -> Message | None:
        if isinstance(event, h11.Request):
            self._request = event
            self._headless = event.method == b"HEAD"
            framing = {name: value for name, value in event.headers if name in FRAMING}
            # Passed on, the one could hide a second request in the body that the other shows
            if len(framing) > 1 or (b"transfer-encoding" in framing and event.http_version < b"1.1"):
                raise NotTaken(400, "Content-Length or HTTP/1.0 with Transfer-Encoding")
            length = int(framing.get(b"content-length", b"0"))
            if length > self._most:
                raise NotTaken(413, "body too long")
            self._size = 0
            if length > MOST_BODY:
                return self._begun(event, length)
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._size += len(event.data)
            if self._size > self._most:
                raise NotTaken(413, "body too long")
            if not self.under_way and self._size > MOST_BODY and self._request is not None:
                return self._begun(self._request, None)
        elif isinstance(event, h11.EndOfMessage) and self._request is not None:
            request, body = self._request, bytes(self._body)
            self._request, self._body = None, bytearray()
            return Message(
                (request.method, origin_form(request.target)),
                list(request.headers),
                request.headers.raw_items(),
                body,
            )
        return None

    def _begun(self, head: h11.Request, length: int | None) -> Message:
        self.under_way = True
        body, self._body = bytes(self._body), bytearray()
        start = (head.method, origin_form(head.target))
        return Message(start, list(head.headers), head.headers.raw_items(), body, more=True, length=length)

    def go_on(self) -> bytes:
        """100 (Continue)."""
        assert self._h11 is not None
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def answer(self, answer: Message, close: bool) -> tuple[bytes, bool]:
        """The bytes of an answer, and whether the connection takes another request after it."""
        assert isinstance(answer.start, int)
        close = close or self.under_way  # answered before its end: what still comes is no request
        if self._h11 is None:
            return written(answer, close), not close
        connection = self._h11
        fields = [*answer.raw, (b"Content-Length", b"%d" % len(answer.body))]
        if close:
            fields.append((b"Connection", b"close"))
        head = h11.Response(status_code=answer.start, headers=fields, reason=REASONS.get(answer.start, b""))
        body = b"" if self._headless else answer.body  # HEAD is told a length and sent nothing
        events: list[h11.Event] = [head, h11.Data(data=body), h11.EndOfMessage()]
        data = b"".join(connection.send(event) or b"" for event in events)
        return data, self._goes_on(connection)

    def _goes_on(self, connection: h11.Connection) -> bool:
        if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
            return False
        self._h11, self._buffer = None, connection.trailing_data[0]  # the next one may be a usual one again
        return True

    # An answer that is passed on as it comes: begin(), body() for each part, finish().

    def begin(self, answer: Message, close: bool) -> bytes:
        """Its head."""
        assert isinstance(answer.start, int)
        close = close or self.under_way
        framing = (b"Content-Length", b"%d" % (answer.length or 0))
        if answer.length is None:
            framing = (b"Transfer-Encoding", b"chunked")
        if self._h11 is None:
            self._chunked = answer.length is None
            return head_of(answer, framing, close)
        fields = [*answer.raw, framing, *([(b"Connection", b"close")] if close else [])]
        reason = REASONS.get(answer.start, b"")
        # To HTTP/1.0 it goes without a length and up to the close: h11 sees to that
        return self._h11.send(h11.Response(status_code=answer.start, headers=fields, reason=reason)) or b""

    def body(self, data: bytes) -> bytes:
        if self._h11 is not None:
            return self._h11.send(h11.Data(data=data)) or b""
        return chunk(data) if self._chunked else data

    def finish(self) -> tuple[bytes, bool]:
        """The last bytes, and whether the connection may take another request."""
        if self._h11 is None:
            return (LAST_CHUNK if self._chunked else b""), not self.under_way
        data = self._h11.send(h11.EndOfMessage()) or b""
        return data, self._goes_on(self._h11)


def written(answer: Message, close: bool) -> bytes:
    return head_of(answer, (b"Content-Length", b"%d" % len(answer.body)), close) + answer.body


def head_of(answer: Message, framing: tuple[bytes, bytes], close: bool) -> bytes:
    assert isinstance(answer.start, int)
    parts = [STATUS_LINES.get(answer.start) or b"HTTP/1.1 %d \r\n" % answer.start]
    parts += [b"%s: %s\r\n" % field for field in (*answer.raw, framing)]
    parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(parts)


def request_bytes(start: tuple[bytes, bytes], fields: Fields, body: bytes) -> bytes:
    """A request as it goes to a pool member; its parts have been read by one of the two parsers."""
    parts = [b"%s %s HTTP/1.1\r\n" % start]
    parts += [b"%s: %s\r\n" % field for field in fields]
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)


class Answers:
    """What a pool member sends on one connection, an answer to each request."""

    __slots__ = (
        "_ahead",
        "_body",
        "_buffer",
        "_h11",
        "_head",
        "_left",
        "_method",
        "_response",
        "_size",
        "reusable",
        "under_way",
    )

    def __init__(self) -> None:
        self._buffer = b""
        self._h11: h11.Connection | None = None
        self._method = b"GET"
        self.reusable = False  # after an answer: whether the connection carries another request
        self.expect(b"GET")

    def expect(self, method: bytes) -> None:
        """A request has been written."""
        self._buffer = b""
        self._head: tuple[int, Fields, Fields, int, int] | None = None
        self._h11 = None
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._ahead = 0
        self._left = self._size = 0
        self.under_way = False  # a body whose beginning was taken; the rest is for piece()
        self._method = method
        self.reusable = False
        if method == b"HEAD":  # its answer tells a length and has no body
            self._hand_over()

    @property
    def begun(self) -> bool:
        return bool(self._buffer) or self._h11 is not None

    def feed(self, data: bytes) -> Message | None:
        """The answer once it is whole.

        :raises Ended: MALFORMED, it is no answer or too long
        """
        if self._h11 is None:
            self._buffer = self._buffer + data if self._buffer else data
            if (found := self._fast()) is not None:
                return found
            if self._h11 is None:
                return None
        else:
            self._h11.receive_data(data)
        return self._slow(self._h11)

    def piece(self, data: bytes) -> bytes:
        """What these bytes bring of the body under way; without any, what was there already, or the end.

        :raises Ended: the rest of it can't be read, or does not come
        """
        if self._h11 is None:
            data, over = data[: self._left], len(data) > self._left
            self._left -= len(data)
            self.under_way = self._left > 0
            self.reusable = not self.under_way and not over
            return data
        if data:  # nothing at all would be the connection's end
            self._h11.receive_data(data)
        self._slow(self._h11)
        data, self._body = bytes(self._body), bytearray()
        return data

    def begun_so_far(self) -> Message | None:
        """The beginning of an answer that tells no length: it is not to wait for 64 KiB of it."""
        head = self._response
        if head is None or self.under_way or any(name == b"content-length" for name, _ in head.headers):
            return None
        return self._begun(head, None)

    def end(self) -> Message | None:
        """The member has ended its sending: an answer that lasts until then is whole.

        :raises Ended: BROKEN, there is none or a part of one
        """
        if self._h11 is None:
            self._hand_over()
        assert self._h11 is not None
        self._h11.receive_data(b"")
        found = self._slow(self._h11)
        if found is None:
            raise Ended(Ending.BROKEN, "ended before an answer")
        return found

    def _fast(self) -> Message | None:
        buffer = self._buffer
        if self._head is None:
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                if not may_begin(buffer, b"HTTP/1.1 "):
                    self._hand_over()
                return None
            match = ANSWER.match(buffer)
            read = None
            if match is not None and match.end() == end + 4 <= MOST_HEAD and match[1] not in (b"204", b"304"):
                read = parsed_fields(match[2])
            if match is None or read is None or read[2] is None:
                self._hand_over()
                return None
            fields, raw, length, _ = read
            assert length is not None
            if length > MOST_STREAMED:
                raise Ended(Ending.MALFORMED, TOO_LONG)
            self._head = (int(match[1]), fields, raw, length, end + 4)
        status, fields, raw, size, at = self._head
        if len(buffer) < at + size:
            if size <= MOST_BODY:
                return None
            self._left, self.under_way, self._buffer = at + size - len(buffer), True, b""
            return Message(status, fields, raw, buffer[at:], more=True, length=size)
        self.reusable = len(buffer) == at + size  # bytes that answer nothing: the next could not be trusted
        return Message(status, fields, raw, buffer[at : at + size])

    def _hand_over(self) -> None:
        connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        connection.send(h11.Request(method=self._method, target=b"/", headers=[(b"Host", b"a")]))
        connection.send(h11.EndOfMessage())
        if self._buffer:
            connection.receive_data(self._buffer)
        self._h11, self._buffer = connection, b""

    def _slow(self, connection: h11.Connection) -> Message | None:
        try:
            return self._rest(connection)
        except h11.RemoteProtocolError as wrong:
            # h11 words an end inside a message as a fault of protocol: it is a break like any other
            cut = connection.trailing_data[1]
            raise Ended(Ending.BROKEN if cut else Ending.MALFORMED, str(wrong)) from None

    def _rest(self, connection: h11.Connection) -> Message | None:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise Ended(Ending.BROKEN, "ended before an answer")
            if isinstance(event, h11.InformationalResponse):
                self._ahead += 1
                if self._ahead > MOST_AHEAD:
                    raise Ended(Ending.MALFORMED, "no answer's head")
            elif isinstance(event, h11.Response):
                if (length := self._begin(event)) > MOST_BODY:
                    return self._begun(event, length)
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._size += len(event.data)
                if self._size > MOST_STREAMED:
                    raise Ended(Ending.MALFORMED, TOO_LONG)
                if not self.under_way and self._size > MOST_BODY and self._response is not None:
                    return self._begun(self._response, None)
            elif isinstance(event, h11.EndOfMessage) and self._response is not None:
                head = self._response
                self.under_way = False
                done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
                self.reusable = done and not connection.trailing_data[0]
                fields = list(head.headers)
                return Message(head.status_code, fields, head.headers.raw_items(), bytes(self._body))

    def _begun(self, head: h11.Response, length: int | None) -> Message:
        self.under_way = True
        body, self._body = bytes(self._body), bytearray()
        raw = head.headers.raw_items()
        return Message(head.status_code, list(head.headers), raw, body, more=True, length=length)

    def _begin(self, head: h11.Response) -> int:
        """Its length, 0 where none is told."""
        names = [name for name, _ in head.headers if name in FRAMING]
        if len(names) > 1:
            raise Ended(Ending.MALFORMED, "Content-Length and Transfer-Encoding")
        length = max((int(value) for name, value in head.headers if name == b"content-length"), default=0)
        if length > MOST_STREAMED:
            raise Ended(Ending.MALFORMED, TOO_LONG)
        self._response = head
        return length
