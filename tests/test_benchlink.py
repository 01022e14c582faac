"""The codec on frames built by hand."""

import io
import json
import struct

import pytest

from millfront import benchlink
from millfront import interface as api

SETTINGS = {
    "Allowed": {
        "Cancel": True,
        "MaxRetryAfterUs": 500000,
        "MostTries": 3,
        "Probes": True,
        "RetryAfter": False,
        "SecondCopies": True,
        "Unheard": 1,
    },
    "Classes": [
        {
            "AimUs": 1000000,
            "Group": "all",
            "HardLimitUs": 4000000,
            "LateValue": 0.0,
            "Repeat": "safe",
            "Stream": False,
            "WindowUs": 1,
            "Worth": 1.0,
        }
    ],
    "Discovery": "pushed",
    "FamilyInfo": {"CountWaitUs": 50000, "SharedCounter": True},
    "Me": 0,
    "MyZone": 0,
    "Packages": [
        {
            "CapDepth": 0.0,
            "CeilingRate": 0.0,
            "CeilingSlack": 0.0,
            "Concurrency": 0,
            "ExtraWorth": 0.0,
            "MostAtOnce": 10.0,
            "OverrunCost": 0.6,
            "Refill": 5.0,
            "WorthFactor": 1.0,
        }
    ],
    "PeersTotal": 2,
    "Rules": {
        "ColdFrom": 0.2,
        "DrainGraceUs": 250000,
        "FallMultiple": 2.5,
        "FallUs": 1500000,
        "RampTimeUs": 17000000,
    },
    "Weights": "none",
}


def frame(now: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), len(body) + 8, now) + body


def configure(instance: int, settings: object = SETTINGS) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<BIQI", 0, instance, 7, len(text)) + text


def catalog(slot: int, *backends: int) -> bytes:
    rows = b"".join(struct.pack("<IHBHBfQ", b, 0, 0, 0, 1, 1.0, 0) for b in backends)
    return struct.pack("<BBI", 9, slot, len(backends)) + rows


def view(instance: int, slot: int) -> bytes:
    return struct.pack("<BIBQB", 4, instance, 2, 1, slot)


def request(instance: int, number: int) -> bytes:
    return struct.pack("<BIQBHQIfffH", 5, instance, number, 0, 0, 9, 2000000, 1.0, 2.0, 0.0, 0)


def replies(data: bytes) -> list[bytes]:
    sink = io.BytesIO()
    benchlink.serve(io.BytesIO(data), sink)
    out, at = [], 0
    raw = sink.getvalue()
    while at < len(raw):
        (size,) = struct.unpack_from("<I", raw, at)
        out.append(raw[at + 4 : at + 4 + size])
        at += 4 + size
    return out


def test_empty_batch_gets_empty_reply() -> None:
    assert replies(frame(5)) == [b""]
    assert replies(b"") == []


def test_request_is_delivered_to_the_listed_backend() -> None:
    data = frame(10, configure(3), catalog(0, 77), view(3, 0), request(3, 41))
    (reply,) = replies(data)
    timer, send = reply[:13], reply[13:]
    assert struct.unpack("<BIII", timer)[:2] == (10, 3)
    assert struct.unpack("<BIQII", send) == (11, 3, 41, 77, 2000000)


def test_catalog_slot_reused_within_a_batch_goes_by_order() -> None:
    data = frame(
        10,
        configure(1),
        catalog(0, 11),
        view(1, 0),
        configure(2),
        catalog(0, 22),
        view(2, 0),
        request(1, 5),
        request(2, 6),
    )
    (reply,) = replies(data)
    sends = [reply[26:47], reply[47:68]]
    assert [struct.unpack("<BIQII", s)[3] for s in sends] == [11, 22]


def test_instance_killed_and_started_in_one_batch_is_new() -> None:
    first = frame(10, configure(1), catalog(0, 11), view(1, 0), request(1, 5))
    again = frame(20, struct.pack("<BI", 7, 1), configure(1), catalog(0, 12), view(1, 0), request(1, 6))
    reply = replies(first + again)[1]
    assert struct.unpack("<BIQII", reply[13:])[3] == 12


def test_outcome_record_is_read_field_by_field() -> None:
    body = struct.pack("<QHBHIHIHB", 41, 303, 1, 4, 77, 0, 1234, 2, 1) + struct.pack("<f", 0.5)
    reader = benchlink.Reader(body)
    event = benchlink.attempt_ended(reader)
    assert event == api.AttemptEnded(41, 2, 77, api.Outcome.TIMEOUT, True, 1234, 4)
    assert reader.at == len(body)


def test_every_action_has_its_code() -> None:
    actions: dict[int, api.Action] = {
        0: api.Probe(1),
        1: api.Watch(True),
        2: api.Log("x"),
        3: api.Refuse(1, 0),
        4: api.FetchList(),
        5: api.Tell(None, b"hi"),
        6: api.CloseIdle(1),
        8: api.Count(1, 2.0, 3),
        9: api.Fail(1),
        10: api.SetTimer(1, 2),
        11: api.Send(1, 2, 3),
        12: api.Cancel(1, 0),
    }
    assert {code: benchlink.encode(0, a)[0] for code, a in actions.items()} == {c: c for c in actions}
    assert benchlink.encode(3, api.SetTimer(500000, 77)).hex() == "0a0300000020a107004d000000"


def lacking(key: str) -> dict[str, object]:
    return {k: v for k, v in SETTINGS.items() if k != key}


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"\x01\x00", "frame header"),
        (struct.pack("<IIQ", 1, 30, 5), "short of a frame"),
        (frame(5, b"\xee" + struct.pack("<I", 0)), "unknown record code"),
        (frame(5, struct.pack("<BI", 11, 0)), "cut short"),
        (frame(5, struct.pack("<BII", 11, 0, 1)), "not running"),
        (frame(5, configure(0, lacking("Classes"))), "settings lack Classes"),
        (frame(5, configure(0), view(0, 4)), "never given"),
        (struct.pack("<IIQ", 0, 9, 5) + b"\x00", "after the last record"),
    ],
)
def test_malformed_input_is_named(data: bytes, says: str) -> None:
    with pytest.raises(benchlink.Malformed, match=says):
        replies(data)
