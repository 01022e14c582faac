"""The fast path of HTTP/1.1 against h11: for any bytes, split anywhere, both yield the same."""

import itertools
from typing import Any

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from millfront.node.endings import ExchangeError
from millfront.node.http import MAX_HEAD_BYTES, Message
from millfront.node.http1 import ResponseParser, ServerCodec, response_bytes
from millfront.node.stages.take_in import RequestRejected

TOKENS = [
    b"GET / HTTP/1.1\r\n",
    b"POST /code-redeem/00000000b4d65521?a=%20 HTTP/1.1\r\n",
    b"HEAD /healthz HTTP/1.1\r\n",
    b"GET / HTTP/1.0\r\n",
    b"GET /\x80 HTTP/1.1\r\n",
    b"GET  / HTTP/1.1\r\n",
    b"Host: a\r\n",
    b"Host:b\r\n",
    b"host: a \r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 03\r\n",
    b"Content-Length: -3\r\n",
    b"Content-Length: 70000\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Connection: keep-alive\r\n",
    b"Expect: 100-continue\r\n",
    b"X-A: b\tc\r\n",
    b"X-A: \xff\r\n",
    b"X-A: b\x00\r\n",
    b"X A: b\r\n",
    b"X-A : b\r\n",
    b" folded\r\n",
    b"X-Empty:\r\n",
    b"X-Empty: \r\n",
    b"X_A: b\r\n",
    b"\r\n",
    b"\n",
    b"\r",
    b"abc",
    b"3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200\r\n",
    b"HTTP/1.1 503 X\r\n",
    b"HTTP/1.1 103 X\r\n\r\n",
    b"HTTP/1.1 204 X\r\n",
    b"HTTP/1.1 304 X\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 600 X\r\n",
]
BYTES = st.lists(st.sampled_from(TOKENS), max_size=9).map(b"".join) | st.binary(max_size=60)
CANONICAL_REQUEST = (
    b"POST /issue-buy/00000000b4d65521 HTTP/1.1\r\nHost: a\r\nPlan: casual\r\nContent-Length: 3\r\n\r\nabc"
)
CANONICAL_RESPONSE = b"HTTP/1.1 200 OK\r\nBilled-Units: 3\r\nContent-Length: 3\r\n\r\nabc"


def split_at(data: bytes, at: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(place for place in at if place < len(data))})
    return [data[a:b] for a, b in itertools.pairwise(edges)]


def parse_requests(codec: ServerCodec, parts: list[bytes]) -> list[Any]:
    """The requests, each with the bytes that answer it at once; ends with the status of an invalid one."""
    found: list[Any] = []
    for part in parts:
        codec.feed(part)
        while True:
            try:
                message = codec.next_request()
            except RequestRejected as error:
                return [*found, error.status]
            if message is None:
                break
            found.append((message.start, message.fields, message.raw_fields, message.body))
            data, reusable = codec.encode_response(Message(200, [], [], b"ok"), False)
            found.append((data.lower().replace(b"\r\n\r\n", b"\r\n"), reusable))
            if not reusable:
                return found
    return found


class H11ServerCodec(ServerCodec):
    """Never takes the fast path."""

    __slots__ = ()

    def _parse_fast(self) -> Message | None:
        if self._buffer:
            self._switch_to_h11()
        return None


@settings(max_examples=600, deadline=None)
@given(BYTES, st.lists(st.integers(0, 200), max_size=5))
@example(CANONICAL_REQUEST * 3, [7, 90, 91])
@example(b"GET / HTTP/1.1\nHost: a\n\n", [3])
@example(b"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", [])
@example(b"GET / HTTP/1.1\r\n\r\n", [])
def test_requests_are_what_h11_reads(data: bytes, at: list[int]) -> None:
    parts = split_at(data, at)
    assert parse_requests(ServerCodec(), parts) == parse_requests(H11ServerCodec(), parts)


def parse_response(codec: ResponseParser, parts: list[bytes], ends: bool) -> Any:
    codec.expect(b"GET")
    try:
        for position, part in enumerate(parts):
            if (found := codec.feed(part)) is not None:
                extra = position + 1 < len(parts)
                return found, codec.reusable and not extra
        return codec.end_of_stream() if ends else None
    except ExchangeError as ended:
        return ended.ending


class H11ResponseParser(ResponseParser):
    __slots__ = ()

    def _parse_fast(self) -> Message | None:
        self._switch_to_h11()
        return None


@settings(max_examples=600, deadline=None)
@given(BYTES, st.lists(st.integers(0, 200), max_size=5), st.booleans())
@example(CANONICAL_RESPONSE, [5, 60], False)
@example(CANONICAL_RESPONSE + b"x", [], False)
@example(b"HTTP/1.1 200 OK\r\n\r\nuntil the end", [20], True)
def test_answers_are_what_h11_reads(data: bytes, at: list[int], ends: bool) -> None:
    parts = split_at(data, at)
    assert parse_response(ResponseParser(), parts, ends) == parse_response(H11ResponseParser(), parts, ends)


@pytest.mark.parametrize("cuts", [[], [1], list(range(len(CANONICAL_REQUEST)))])
def test_a_canonical_request_and_response_take_the_fast_path(cuts: list[int]) -> None:
    codec = ServerCodec()
    found = []
    for part in split_at(CANONICAL_REQUEST, cuts):
        codec.feed(part)
        found += [message for message in [codec.next_request()] if message is not None]
    assert [message.body for message in found] == [b"abc"] and codec._h11 is None
    member = ResponseParser()
    member.expect(b"GET")
    done = [m for part in split_at(CANONICAL_RESPONSE, cuts) if (m := member.feed(part)) is not None]
    assert len(done) == 1 and member.reusable and member._h11 is None


def test_a_response_to_head_is_complete_with_its_head() -> None:
    parser = ResponseParser()
    parser.expect(b"HEAD")
    found = parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n")
    assert found is not None and found.body_incomplete
    assert parser.read_body(b"") == b"" and not parser.body_pending and parser.reusable


def test_an_encoded_response_is_read_back_by_h11() -> None:
    fields = [(b"Content-Type", b"text/plain"), (b"Retry-After", b"0.500")]
    answer = Message(503, fields, fields, b"refused")
    peer = h11.Connection(h11.CLIENT)
    peer.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    peer.send(h11.EndOfMessage())
    peer.receive_data(response_bytes(answer, True))
    head = peer.next_event()
    assert isinstance(head, h11.Response) and (head.status_code, head.reason) == (503, b"Service Unavailable")
    assert (b"connection", b"close") in head.headers and (b"retry-after", b"0.500") in head.headers
    assert isinstance(data := peer.next_event(), h11.Data) and bytes(data.data) == b"refused"
    assert isinstance(peer.next_event(), h11.EndOfMessage)


def test_a_head_without_end_is_refused() -> None:
    assert parse_requests(ServerCodec(), [b"GET / HTTP/1.1\r\nX: ", b"y" * MAX_HEAD_BYTES, b"y" * 9]) == [431]


def test_a_refusal_in_a_head_that_follows_an_answered_head_request_is_a_whole_response() -> None:
    """Guards against issue 65, 1: the request before, a HEAD, decided how a later refusal is framed."""
    codec = ServerCodec()
    codec.feed(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert codec.next_request() is not None
    answered, reusable = codec.encode_response(Message(200, [], [], b"page"), close=False)
    assert answered.endswith(b"\r\n\r\n") and reusable
    codec.feed(b"HEAD /second HTTP/1.1\r\nHost:")
    assert codec.next_request() is None
    refused, reusable = codec.encode_response(Message(408, [], [], b"too late"), close=True)
    assert refused.endswith(b"\r\n\r\ntoo late") and not reusable


METHODS = [b"GET", b"HEAD", b"POST", b"PUT", b"DELETE"]


class ServerCodecMachine(RuleBasedStateMachine):
    """One server connection through all orders of methods, partial requests, answers and refusals."""

    @initialize()
    def connect(self) -> None:
        self.codec = ServerCodec()
        self.asked: bytes | None = None  # method of the request that is to be answered
        self.rest = b""  # of a request that has come in part
        self.open = True

    @precondition(lambda self: self.open and self.asked is None and not self.rest)
    @rule(
        method=st.sampled_from(METHODS),
        body=st.binary(max_size=9),
        share=st.floats(0.0, 1.0),
        odd=st.booleans(),
    )
    def request(self, method: bytes, body: bytes, share: float, odd: bool) -> None:
        """A request arrives, whole or in part; with an odd field it is none for the fast path."""
        field = b"X-Odd:  tab\t\r\n" if odd else b""
        head = b"%s /p HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n" % (method, field, len(body))
        data = head + body
        cut = int(share * len(data))
        self.codec.feed(data[:cut])
        self.rest, self.method = data[cut:], method
        self.take()

    @precondition(lambda self: self.open and self.rest)
    @rule()
    def the_rest_arrives(self) -> None:
        data, self.rest = self.rest, b""
        self.codec.feed(data)
        self.take()

    def take(self) -> None:
        message = self.codec.next_request()
        assert (message is None) == bool(self.rest)
        if message is not None:
            assert isinstance(message.start, tuple) and message.start[0] == self.method
            self.asked = self.method

    @precondition(lambda self: self.open and self.asked is not None)
    @rule(status=st.sampled_from([200, 404, 503]), close=st.booleans())
    def answer(self, status: int, close: bool) -> None:
        assert self.asked is not None
        data, reusable = self.codec.encode_response(Message(status, [], [], b"some text"), close)
        self.check(self.asked, data, status)
        assert reusable == (not close)
        self.asked, self.open = None, reusable

    @precondition(lambda self: self.open and self.asked is not None)
    @rule(parts=st.lists(st.binary(max_size=9), max_size=3))
    def answer_in_parts(self, parts: list[bytes]) -> None:
        assert self.asked is not None
        if self.asked == b"HEAD":  # a response without a body is never streamed
            return
        data = self.codec.encode_head(Message(200, [], [], b"", length=None), close=False)
        data += b"".join(self.codec.encode_body(part) for part in parts)
        end, reusable = self.codec.encode_end()
        self.check(self.asked, data + end, 200)
        assert reusable
        self.asked = None

    @precondition(lambda self: self.open and self.asked is None)
    @rule()
    def time_out(self) -> None:
        """The rest of a request does not come in time."""
        known = self.method if self.codec.in_body else b"GET"  # a head in part names no method yet
        data, reusable = self.codec.encode_response(Message(408, [], [], b"too late"), close=True)
        self.check(known, data, 408)
        assert not reusable
        self.open = False

    @precondition(lambda self: not self.open)
    @rule()
    def connect_again(self) -> None:
        self.connect()

    @staticmethod
    def check(method: bytes, data: bytes, status: int) -> None:
        """A client that sent this method reads one whole response and nothing more."""
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method=method, target="/p", headers=[("Host", "a")]))
        client.send(h11.EndOfMessage())
        client.receive_data(data)
        head = client.next_event()
        assert isinstance(head, h11.Response) and head.status_code == status
        while isinstance(event := client.next_event(), h11.Data):
            pass
        assert isinstance(event, h11.EndOfMessage)
        assert client.trailing_data[0] == b""


TestServerCodecMachine = ServerCodecMachine.TestCase
TestServerCodecMachine.settings = settings(max_examples=200, deadline=None)
