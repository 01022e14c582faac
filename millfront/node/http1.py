"""HTTP/1.1 without I/O, in both roles: a fast path for messages in canonical form, and h11 for all others.

The fast path takes only what can be read in one way: a request or status line and fields in canonical form,
at most one Content-Length, and nothing about the connection but `keep-alive`. Any other message goes to h11
from its first byte on, so h11's strictness remains the rule.
"""

import re
from http import HTTPStatus
from typing import Any

import h11

from millfront.node.endings import Ending, ExchangeError
from millfront.node.http import (
    FRAMING,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_STREAMED_BODY_BYTES,
    Fields,
    Message,
)
from millfront.node.stages.take_in import RequestRejected

FIELDS = rb"((?:[A-Za-z0-9-]+: [!-~](?:[ -~]*[!-~])?\r\n)*)\r\n"
REQUEST = re.compile(rb"(GET|POST) (/[!-~]*) HTTP/1\.1\r\n" + FIELDS)
RESPONSE = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9]) [ -~]*\r\n" + FIELDS)
FIELD = re.compile(rb"([A-Za-z0-9-]+): ([!-~](?:[ -~]*[!-~])?)\r\n")
LENGTH = re.compile(rb"[0-9]{1,8}")
# Fields that change how a message is read or what follows it. With one of them, other than `Connection:
# keep-alive`, a message is not for the fast path.
FALLBACK_FIELDS = frozenset((b"connection", b"expect", b"te", b"trailer", b"transfer-encoding", b"upgrade"))
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
STATUS_LINES = {code: b"HTTP/1.1 %d %s\r\n" % (code, reason) for code, reason in REASONS.items()}


def parse_fields(block: bytes) -> tuple[Fields, Fields, int | None, int] | None:
    """Fields with lower-case names, fields as received, the content length and the number of Host fields.
    None: not for the fast path."""
    raw: Fields = FIELD.findall(block)
    fields = [(name.lower(), value) for name, value in raw]
    names = [name for name, _ in fields]
    if not FALLBACK_FIELDS.isdisjoint(names):
        special = [field for field in fields if field[0] in FALLBACK_FIELDS]
        if any(name != b"connection" or value.lower() != b"keep-alive" for name, value in special):
            return None
    length = None
    if b"content-length" in names:
        value = fields[names.index(b"content-length")][1]
        if names.count(b"content-length") > 1 or not LENGTH.fullmatch(value):
            return None
        length = int(value)
    return fields, raw, length, names.count(b"host")


def may_match_fast_path(data: bytes, *beginnings: bytes) -> bool:
    """Whether an incomplete head may still turn out to be one for the fast path."""
    begins = any(data.startswith(b) or b.startswith(data) for b in beginnings)
    return begins and len(data) <= MAX_HEAD_BYTES and data.count(b"\n") == data.count(b"\r\n")


ABSOLUTE_FORM = re.compile(rb"https?://[^/?#@]*(?=[/?]|$)", re.IGNORECASE)


def origin_form(target: bytes) -> bytes:
    """The path and query to forward; a server must accept the absolute form too (RFC 9112, 3.2.2)."""
    found = ABSOLUTE_FORM.match(target)
    return target if found is None else target[found.end() :] or b"/"


LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


RESPONSE_TOO_LONG = f"response body over {MAX_STREAMED_BODY_BYTES} bytes"


class ServerCodec:
    """Server side of one client connection: parses its requests in turn and encodes the responses to them."""

    __slots__ = (
        "_body",
        "_body_received",
        "_buffer",
        "_chunked",
        "_h11",
        "_head",
        "_is_head_request",
        "_max_body",
        "_remaining",
        "_request",
        "body_pending",
    )

    def __init__(self, max_body: int = MAX_STREAMED_BODY_BYTES) -> None:
        """:param max_body: of a request, in bytes"""
        self._max_body = max_body
        self.body_pending = False  # next_request() gave the beginning of a body; the rest is for read_body()
        self._remaining = 0  # bytes of that body still to come, on the fast path
        self._body_received = 0  # bytes of the body that came, on h11
        self._chunked = False  # framing of the response being streamed
        self._buffer = b""
        self._head: tuple[tuple[bytes, bytes], Fields, Fields, int, int] | None = None
        self._h11: h11.Connection | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._is_head_request = False

    @property
    def buffered(self) -> int:
        """Bytes received and not parsed yet."""
        return len(self._h11.trailing_data[0]) if self._h11 is not None else len(self._buffer)

    @property
    def in_body(self) -> bool:
        """Whether a head is complete and its body is not."""
        return self._head is not None or self._request is not None

    @property
    def awaits_continue(self) -> bool:
        """Whether the client waits for 100 (Continue) before its body (RFC 9110, 10.1.1)."""
        return self._h11 is not None and self._h11.they_are_waiting_for_100_continue

    def feed(self, data: bytes) -> None:
        if self._h11 is not None:
            self._h11.receive_data(data)
        else:
            self._buffer = self._buffer + data if self._buffer else data

    def next_request(self) -> Message | None:
        """The next request, None until it is complete. A long body comes incomplete: see read_body().

        :raises RequestRejected: the request can't be read to its end; the connection can carry no more
        """
        if self._h11 is None:
            if (found := self._parse_fast()) is not None:
                return found
            if self._h11 is None:
                return None
        try:
            return self._parse_with_h11(self._h11)
        except h11.RemoteProtocolError as error:
            raise RequestRejected(error.error_status_hint, str(error)) from None

    def _parse_fast(self) -> Message | None:
        buffer = self._buffer
        if not buffer:
            return None
        if self._head is None:
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                if not may_match_fast_path(buffer, b"GET /", b"POST /"):
                    self._switch_to_h11()
                return None
            match = REQUEST.match(buffer)
            read = None
            if match is not None and match.end() == end + 4 <= MAX_HEAD_BYTES:
                read = parse_fields(match[3])
            if match is None or read is None or read[3] != 1 or (read[2] or 0) > self._max_body:
                self._switch_to_h11()
                return None
            fields, raw, length, _ = read
            self._head = ((match[1], match[2]), fields, raw, length or 0, end + 4)
        start, fields, raw, size, at = self._head
        if len(buffer) < at + size:
            if size <= MAX_BUFFERED_BODY_BYTES:
                return None
            self._head, self._is_head_request, self._buffer = None, False, b""
            self._remaining, self.body_pending = at + size - len(buffer), True
            return Message(start, fields, raw, buffer[at:], body_incomplete=True, length=size)
        self._head = None
        self._is_head_request = False
        self._buffer = buffer[at + size :]
        return Message(start, fields, raw, buffer[at : at + size])

    def _switch_to_h11(self) -> None:
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._h11.receive_data(self._buffer)
        self._buffer, self._head = b"", None

    def read_body(self) -> bytes:
        """What has arrived of a body whose beginning next_request() gave.

        :raises RequestRejected: the rest of it can't be read
        """
        if self._h11 is None:
            data, self._buffer = self._buffer[: self._remaining], self._buffer[self._remaining :]
            self._remaining -= len(data)
            self.body_pending = self._remaining > 0
            return data
        try:
            while self.body_pending:
                event = self._h11.next_event()
                if isinstance(event, h11.Data):
                    self._handle_event(event)
                elif isinstance(event, h11.EndOfMessage):
                    self.body_pending, self._request = False, None
                else:
                    break
        except h11.RemoteProtocolError as error:
            raise RequestRejected(error.error_status_hint, str(error)) from None
        data, self._body = bytes(self._body), bytearray()
        return data

    def _parse_with_h11(self, connection: h11.Connection) -> Message | None:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
            if (found := self._handle_event(event)) is not None:
                return found

    def _handle_event(self, event: Any) -> Message | None:
        if isinstance(event, h11.Request):
            if event.method == b"CONNECT":  # what follows a success would be a tunnel, and no response
                raise RequestRejected(501, "CONNECT is not supported")
            self._request = event
            self._is_head_request = event.method == b"HEAD"
            framing = {name: value for name, value in event.headers if name in FRAMING}
            # Forwarded with both, one could hide a second request in the body that the other shows
            if len(framing) > 1 or (b"transfer-encoding" in framing and event.http_version < b"1.1"):
                raise RequestRejected(400, "Content-Length or HTTP/1.0 with Transfer-Encoding")
            length = int(framing.get(b"content-length", b"0"))
            if length > self._max_body:
                raise RequestRejected(413, "body too long")
            self._body_received = 0
            if length > MAX_BUFFERED_BODY_BYTES:
                return self._begin_streaming(event, length)
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._body_received += len(event.data)
            if self._body_received > self._max_body:
                raise RequestRejected(413, "body too long")
            if (
                not self.body_pending
                and self._body_received > MAX_BUFFERED_BODY_BYTES
                and self._request is not None
            ):
                return self._begin_streaming(self._request, None)
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

    def _begin_streaming(self, head: h11.Request, length: int | None) -> Message:
        self.body_pending = True
        body, self._body = bytes(self._body), bytearray()
        start = (head.method, origin_form(head.target))
        return Message(
            start, list(head.headers), head.headers.raw_items(), body, body_incomplete=True, length=length
        )

    def encode_continue(self) -> bytes:
        """The bytes of 100 (Continue)."""
        assert self._h11 is not None
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def encode_response(self, response: Message, close: bool) -> tuple[bytes, bool]:
        """The bytes of a whole response, and whether the connection takes another request after it."""
        assert isinstance(response.start, int)
        close = close or self.body_pending  # answered before the body's end: what follows is no request
        if self._h11 is None:
            return response_bytes(response, close), not close
        connection = self._h11
        fields = [*response.raw_fields, (b"Content-Length", b"%d" % len(response.body))]
        if close:
            fields.append((b"Connection", b"close"))
        head = h11.Response(
            status_code=response.start, headers=fields, reason=REASONS.get(response.start, b"")
        )
        body = b"" if self._is_head_request else response.body  # a response to HEAD has a length and no body
        events: list[h11.Event] = [head, h11.Data(data=body), h11.EndOfMessage()]
        data = b"".join(connection.send(event) or b"" for event in events)
        return data, self._end_exchange(connection)

    def _end_exchange(self, connection: h11.Connection) -> bool:
        if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
            return False
        self._h11, self._buffer = None, connection.trailing_data[0]  # the next message may be canonical
        self._is_head_request = False
        return True

    # A streamed response: encode_head(), encode_body() for each part, encode_end().

    def encode_head(self, response: Message, close: bool) -> bytes:
        """The bytes of the head of a streamed response; chunked if `response.length` is None."""
        assert isinstance(response.start, int)
        close = close or self.body_pending
        framing = (b"Content-Length", b"%d" % (response.length or 0))
        if response.length is None:
            framing = (b"Transfer-Encoding", b"chunked")
        if self._h11 is None:
            self._chunked = response.length is None
            return response_head_bytes(response, framing, close)
        fields = [*response.raw_fields, framing, *([(b"Connection", b"close")] if close else [])]
        reason = REASONS.get(response.start, b"")
        # To an HTTP/1.0 client it goes without a length, up to the close: h11 takes care of that.
        return self._h11.send(h11.Response(status_code=response.start, headers=fields, reason=reason)) or b""

    def encode_body(self, data: bytes) -> bytes:
        if self._h11 is not None:
            return self._h11.send(h11.Data(data=data)) or b""
        return encode_chunk(data) if self._chunked else data

    def encode_end(self) -> tuple[bytes, bool]:
        """The last bytes of a streamed response, and whether the connection takes another request."""
        if self._h11 is None:
            return (LAST_CHUNK if self._chunked else b""), not self.body_pending
        data = self._h11.send(h11.EndOfMessage()) or b""
        return data, self._end_exchange(self._h11)


def response_bytes(response: Message, close: bool) -> bytes:
    return (
        response_head_bytes(response, (b"Content-Length", b"%d" % len(response.body)), close) + response.body
    )


def response_head_bytes(response: Message, framing: tuple[bytes, bytes], close: bool) -> bytes:
    assert isinstance(response.start, int)
    parts = [STATUS_LINES.get(response.start) or b"HTTP/1.1 %d \r\n" % response.start]
    parts += [b"%s: %s\r\n" % field for field in (*response.raw_fields, framing)]
    parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(parts)


def request_bytes(start: tuple[bytes, bytes], fields: Fields, body: bytes) -> bytes:
    """A request to a pool member; its parts were validated by the fast path or by h11."""
    parts = [b"%s %s HTTP/1.1\r\n" % start]
    parts += [b"%s: %s\r\n" % field for field in fields]
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)


class ResponseParser:
    """Client side of one connection to a pool member: parses the response to each request."""

    __slots__ = (
        "_body",
        "_body_received",
        "_buffer",
        "_h11",
        "_head",
        "_interim_count",
        "_method",
        "_remaining",
        "_response",
        "body_pending",
        "reusable",
    )

    def __init__(self) -> None:
        self._buffer = b""
        self._h11: h11.Connection | None = None
        self._method = b"GET"
        self.reusable = False  # after a response: whether the connection can carry another request
        self.expect(b"GET")

    def expect(self, method: bytes) -> None:
        """Prepare for the response to a request that has been written."""
        self._buffer = b""
        self._head: tuple[int, Fields, Fields, int, int] | None = None
        self._h11 = None
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._interim_count = 0
        self._remaining = self._body_received = 0
        self.body_pending = False  # feed() gave the beginning of a body; the rest is for read_body()
        self._method = method
        self.reusable = False
        if method == b"HEAD":  # its response has a length and no body
            self._switch_to_h11()

    @property
    def started(self) -> bool:
        return bool(self._buffer) or self._h11 is not None

    def feed(self, data: bytes) -> Message | None:
        """The response once it is complete, or the beginning of one that is streamed.

        :raises ExchangeError: MALFORMED, no valid response or too long; BROKEN, the connection has ended
        """
        if self._h11 is None:
            self._buffer = self._buffer + data if self._buffer else data
            if (found := self._parse_fast()) is not None:
                return found
            if self._h11 is None:
                return None
        else:
            self._h11.receive_data(data)
        return self._parse_with_h11(self._h11)

    def read_body(self, data: bytes) -> bytes:
        """What `data` adds to the streamed body; with empty `data`, what was buffered already, or its end.

        :raises ExchangeError: the rest of the body can't be read, or does not come
        """
        if self._h11 is None:
            data, over = data[: self._remaining], len(data) > self._remaining
            self._remaining -= len(data)
            self.body_pending = self._remaining > 0
            self.reusable = not self.body_pending and not over
            return data
        if data:  # h11 takes empty data for the connection's end
            self._h11.receive_data(data)
        self._parse_with_h11(self._h11)
        data, self._body = bytes(self._body), bytearray()
        return data

    def partial_response(self) -> Message | None:
        """The beginning of a response without a length, so that it need not wait for 64 KiB of body."""
        head = self._response
        if head is None or self.body_pending or any(name == b"content-length" for name, _ in head.headers):
            return None
        return self._begin_streaming(head, None)

    def end_of_stream(self) -> Message | None:
        """The member has finished sending: the response, if it is one that lasts until then.

        :raises ExchangeError: BROKEN, there is no response or only a part of one
        """
        if self._h11 is None:
            self._switch_to_h11()
        assert self._h11 is not None
        self._h11.receive_data(b"")
        found = self._parse_with_h11(self._h11)
        if found is None:
            raise ExchangeError(Ending.BROKEN, "connection ended before a complete response")
        return found

    def _parse_fast(self) -> Message | None:
        buffer = self._buffer
        if self._head is None:
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                if not may_match_fast_path(buffer, b"HTTP/1.1 "):
                    self._switch_to_h11()
                return None
            match = RESPONSE.match(buffer)
            read = None
            if (
                match is not None
                and match.end() == end + 4 <= MAX_HEAD_BYTES
                and match[1] not in (b"204", b"304")
            ):
                read = parse_fields(match[2])
            if match is None or read is None or read[2] is None:
                self._switch_to_h11()
                return None
            fields, raw, length, _ = read
            assert length is not None
            if length > MAX_STREAMED_BODY_BYTES:
                raise ExchangeError(Ending.MALFORMED, RESPONSE_TOO_LONG)
            self._head = (int(match[1]), fields, raw, length, end + 4)
        status, fields, raw, size, at = self._head
        if len(buffer) < at + size:
            if size <= MAX_BUFFERED_BODY_BYTES:
                return None
            self._remaining, self.body_pending, self._buffer = at + size - len(buffer), True, b""
            return Message(status, fields, raw, buffer[at:], body_incomplete=True, length=size)
        self.reusable = len(buffer) == at + size  # else stray bytes: the next could not be trusted
        return Message(status, fields, raw, buffer[at : at + size])

    def _switch_to_h11(self) -> None:
        connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        connection.send(h11.Request(method=self._method, target=b"/", headers=[(b"Host", b"a")]))
        connection.send(h11.EndOfMessage())
        if self._buffer:
            connection.receive_data(self._buffer)
        self._h11, self._buffer = connection, b""

    def _parse_with_h11(self, connection: h11.Connection) -> Message | None:
        try:
            return self._read_events(connection)
        except h11.RemoteProtocolError as error:
            # h11 reports an end inside a message as a protocol error: here it is a broken connection
            cut = connection.trailing_data[1]
            raise ExchangeError(Ending.BROKEN if cut else Ending.MALFORMED, str(error)) from None

    def _read_events(self, connection: h11.Connection) -> Message | None:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise ExchangeError(Ending.BROKEN, "connection ended before a complete response")
            if isinstance(event, h11.InformationalResponse):
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    raise ExchangeError(
                        Ending.MALFORMED, f"over {MAX_INTERIM_RESPONSES} interim responses before a final one"
                    )
            elif isinstance(event, h11.Response):
                if (length := self._check_framing(event)) > MAX_BUFFERED_BODY_BYTES:
                    return self._begin_streaming(event, length)
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._body_received += len(event.data)
                if self._body_received > MAX_STREAMED_BODY_BYTES:
                    raise ExchangeError(Ending.MALFORMED, RESPONSE_TOO_LONG)
                if (
                    not self.body_pending
                    and self._body_received > MAX_BUFFERED_BODY_BYTES
                    and self._response is not None
                ):
                    return self._begin_streaming(self._response, None)
            elif isinstance(event, h11.EndOfMessage) and self._response is not None:
                head = self._response
                self.body_pending = False
                done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
                self.reusable = done and not connection.trailing_data[0]
                fields = list(head.headers)
                return Message(head.status_code, fields, head.headers.raw_items(), bytes(self._body))

    def _begin_streaming(self, head: h11.Response, length: int | None) -> Message:
        self.body_pending = True
        body, self._body = bytes(self._body), bytearray()
        raw = head.headers.raw_items()
        return Message(head.status_code, list(head.headers), raw, body, body_incomplete=True, length=length)

    def _check_framing(self, head: h11.Response) -> int:
        """The Content-Length in bytes, 0 if there is none. Remembers the head for the events that follow."""
        names = [name for name, _ in head.headers if name in FRAMING]
        if len(names) > 1:
            raise ExchangeError(Ending.MALFORMED, "response with both Content-Length and Transfer-Encoding")
        length = max((int(value) for name, value in head.headers if name == b"content-length"), default=0)
        if length > MAX_STREAMED_BODY_BYTES:
            raise ExchangeError(Ending.MALFORMED, RESPONSE_TOO_LONG)
        self._response = head
        return length
