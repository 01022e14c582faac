"""What `make run` starts, tried as the README says: a few pages, a refusal, a larger plan, and usage that
arrives."""

import json
import os
import re
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from tests.test_config import ROOT, command


def test_a_newcomer_sees_what_the_readme_says() -> None:
    line = [sys.executable, "-B", "examples/try.py", "--listen", "127.0.0.1:0"]
    given = os.environ | {"PYTHONPATH": str(ROOT)}
    with subprocess.Popen(line, cwd=ROOT, env=given, stdout=subprocess.PIPE, text=True) as tried:
        assert tried.stdout is not None
        try:
            said = ""
            while "seen: " not in said:
                said += tried.stdout.readline()
            address = re.search(r"curl -i http://([0-9.:]+)/", said)
            admin = re.search(r"--admin (unix:\S+) assign (\S+) regular", said)
            assert address is not None and admin is not None
            answers = [ask(address[1], number) for number in range(12)]
            pages = [code for code, _ in answers].index(503)
            assert 3 <= pages <= 8  # "a few pages"
            assert answers[0][1].startswith(b"GET /page-fetch/00000000b4d65521, request 0")
            assert command("plans", "--admin", admin[1], "assign", admin[2], "regular").returncode == 0
            began = time.monotonic()  # the larger plan has a ceiling, whose store begins empty
            while ask(address[1], 99)[0] != 200:
                assert time.monotonic() - began < 1.0
            tried.send_signal(signal.SIGTERM)
            rest = tried.stdout.read()
        finally:
            tried.terminate()
    billed = re.findall(
        r"usage: 00000000b4d65521 (\w+) page-fetch inside: (\d+) tries, (\d+) units told", said + rest
    )
    assert {plan for plan, _, _ in billed} == {"casual", "regular"}
    assert sum(int(units) for _, _, units in billed) == pages + 1
    assert tried.returncode == 0


def test_a_whole_system_comes_up_and_answers_what_it_prints() -> None:
    line = [sys.executable, "-B", "examples/try_system.py"]
    given = os.environ | {"PYTHONPATH": str(ROOT)}
    with subprocess.Popen(line, cwd=ROOT, env=given, stdout=subprocess.PIPE, text=True) as tried:
        assert tried.stdout is not None
        try:
            said = ""
            while "Ctrl-C" not in said and (more := tried.stdout.readline()):
                said += more
            plain, where = re.search(r"http://\S+/pages/1", said), re.search(r"'(http://\S+)'", said)
            key = re.search(r"Token (\S+)'", said)
            assert plain is not None and where is not None and key is not None
            fields = {"Host": "shop.example", "Millfront-Attempt-Id": "1", "Millfront-Deadline-Ms": "3000"}
            request = urllib.request.Request(plain[0], headers=fields | {"Authorization": f"Token {key[1]}"})
            with urllib.request.urlopen(request, timeout=5) as answer:
                assert answer.read().startswith(b"GET /pages/1 for readers, by i-")
            with urllib.request.urlopen(where[1], timeout=5) as answer:
                assert len(json.load(answer)["addresses"]) == 2  # the two of the region
        finally:
            tried.send_signal(signal.SIGTERM)
            assert tried.wait(20) == 0


def ask(address: str, number: int) -> tuple[int, bytes]:
    fields = {"Request-Id": f"{number:x}", "Plan": "casual", "Request-Timeout": "2000m"}
    fields["Quota-Info"] = "units=1,spread=1,first=0"
    request = urllib.request.Request(f"http://{address}/page-fetch/00000000b4d65521", headers=fields)
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as refused:
        return refused.code, b""
