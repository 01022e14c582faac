"""A gatekeeper to try, with two toy page servers and a receiver that prints the usage it exports.

python examples/try.py [--listen 127.0.0.1:8081]

Runs until Ctrl-C, in a temporary folder that is removed at the end.
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


def serve_in_background(http_server: ThreadingHTTPServer) -> str:
    threading.Thread(target=http_server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{http_server.server_port}"


def write_files(folder: Path, listen: str, pages: list[str], receiver: str) -> dict[str, str]:
    """Write the two files; returns the environment variables that name them."""
    config: dict[str, Any] = json.loads((HERE / "config.json").read_text())
    template = config["known"]["hosts"][0]
    config["known"]["hosts"] = [
        template | {"host": f"s-{i}", "dial": address} for i, address in enumerate(pages)
    ]
    config["listen"] = listen
    export = {"receiver": {"address": receiver}}
    operators = {
        "admin": {"listen": f"unix:{folder}/admin.sock"},
        "plans": {"file": f"{folder}/plans.json", "fleet_units_per_s": 100},
        "usage": {"folder": f"{folder}/usage", "segment_s": 2.0, "export": export},
    }
    environment = {}
    for name, document, variable in (
        ("config", config, "NODE_CONFIG"),
        ("operators", operators, "MILLFRONT_OPERATOR"),
    ):
        path = folder / f"{name}.json"
        path.write_text(json.dumps(document, indent=1))
        environment[variable] = str(path)
    return environment


def show(line: str) -> None:
    print(line, flush=True)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:8081")
    arguments = parser.parse_args()
    pages = [serve_in_background(ThreadingHTTPServer(("127.0.0.1", 0), PageServer)) for _ in range(2)]
    receiver = serve_in_background(create_server(PrintingReceiver(show), "127.0.0.1", 0))
    with tempfile.TemporaryDirectory(prefix="millfront-") as name:
        environment = write_files(Path(name), arguments.listen, pages, receiver)
        command = [sys.executable, "-B", "-m", "millfront"]
        with subprocess.Popen(
            command, env=os.environ | environment, stderr=subprocess.PIPE, text=True
        ) as process:
            for signal_number in (signal.SIGINT, signal.SIGTERM):
                signal.signal(signal_number, lambda *_: process.send_signal(signal.SIGTERM))
            assert process.stderr is not None
            for line in process.stderr:
                print(line, end="", file=sys.stderr, flush=True)
                if " serves " in line and (match := re.search(r"address='?([0-9.:]+)", line)):
                    show(f"page servers at {' and '.join(pages)}, a receiver at {receiver}")
                    show(f"ask:  curl -i http://{match[1]}/page-fetch/{CUSTOMER} -H 'Request-Id: 1' \\")
                    show("        -H 'Plan: casual' -H 'Request-Timeout: 2000m' \\")
                    show("        -H 'Quota-Info: units=1,spread=1,first=0'")
                    admin = f"--admin unix:{name}/admin.sock"
                    show(f"plan: .venv/bin/python -m millfront plans {admin} assign {CUSTOMER} regular")
                    show(f"seen: .venv/bin/python -m millfront status {admin}")
        return process.returncode


if __name__ == "__main__":
    sys.exit(main())
