"""A gatekeeper to try: two toy page servers before it and a receiver that shows the usage it exports.

python examples/try.py [--listen 127.0.0.1:8081]

All of it runs until Ctrl-C, in a folder of its own that goes with it.
"""

import argparse
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

from page_server import PageServer

from millfront.usage.receiver import PrintingReceiver, create_server

HERE = Path(__file__).parent
CUSTOMER = "00000000b4d65521"


def behind(made: ThreadingHTTPServer) -> str:
    threading.Thread(target=made.serve_forever, daemon=True).start()
    return f"127.0.0.1:{made.server_port}"


def written(folder: Path, listen: str, pages: list[str], receiver: str) -> dict[str, str]:
    """The two files, and the environment that names them."""
    config: dict[str, Any] = json.loads((HERE / "config.json").read_text())
    toy = config["known"]["hosts"][0]
    config["known"]["hosts"] = [toy | {"host": f"s-{i}", "dial": at} for i, at in enumerate(pages)]
    config["listen"] = listen
    export = {"receiver": {"address": receiver}}
    operators = {
        "admin": {"listen": f"unix:{folder}/admin.sock"},
        "plans": {"file": f"{folder}/plans.json", "fleet_units_per_s": 100},
        "usage": {"folder": f"{folder}/usage", "segment_s": 2.0, "export": export},
    }
    given = {}
    for name, what, variable in (
        ("config", config, "NODE_CONFIG"),
        ("operators", operators, "MILLFRONT_OPERATOR"),
    ):
        path = folder / f"{name}.json"
        path.write_text(json.dumps(what, indent=1))
        given[variable] = str(path)
    return given


def say(line: str) -> None:
    print(line, flush=True)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:8081")
    told = parser.parse_args()
    pages = [behind(ThreadingHTTPServer(("127.0.0.1", 0), PageServer)) for _ in range(2)]
    receiver = behind(create_server(PrintingReceiver(say), "127.0.0.1", 0))
    with tempfile.TemporaryDirectory(prefix="millfront-") as name:
        given = written(Path(name), told.listen, pages, receiver)
        command = [sys.executable, "-B", "-m", "millfront"]
        with subprocess.Popen(command, env=os.environ | given, stderr=subprocess.PIPE, text=True) as process:
            for number in (signal.SIGINT, signal.SIGTERM):
                signal.signal(number, lambda *_: process.send_signal(signal.SIGTERM))
            assert process.stderr is not None
            for line in process.stderr:
                print(line, end="", file=sys.stderr, flush=True)
                if " serves " in line and (found := re.search(r"address='?([0-9.:]+)", line)):
                    say(f"page servers at {' and '.join(pages)}, a receiver at {receiver}")
                    say(f"ask:  curl -i http://{found[1]}/page-fetch/{CUSTOMER} -H 'Request-Id: 1' \\")
                    say("        -H 'Plan: casual' -H 'Request-Timeout: 2000m' \\")
                    say("        -H 'Quota-Info: units=1,spread=1,first=0'")
                    admin = f"--admin unix:{name}/admin.sock"
                    say(f"plan: .venv/bin/python -m millfront plans {admin} assign {CUSTOMER} regular")
                    say(f"seen: .venv/bin/python -m millfront status {admin}")
        return process.returncode


if __name__ == "__main__":
    sys.exit(main())
