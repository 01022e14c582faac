"""A whole system to try on loopback: three gatekeepers in two regions, toy servers, a platform that lists
them, and a first configuration.

python examples/try_system.py

Runs until Ctrl-C, in a temporary folder that is removed at the end.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import ThreadingHTTPServer
from pathlib import Path

from toy_servers import platform, toy_server

ZONES = {"north": "a", "south": "a", "far": "b"}
HOST, KEY = "shop.example", "a-key-to-try"
START_S = 20.0


def serve_in_background(http_server: ThreadingHTTPServer) -> str:
    threading.Thread(target=http_server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{http_server.server_port}"


def ports(count: int) -> list[int]:
    """Free port numbers. All gatekeepers use the same ports, each on an address of its own."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    numbers = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return numbers


def settings(folder: Path, number: int, cloud: str, plain: int, ctl: int, post: int) -> Path:
    """The settings file of one gatekeeper, on an address of its own."""
    ip, zone = f"127.0.0.{number + 1}", list(ZONES)[number]
    seeds = [f"127.0.0.{other + 1}:{ctl}" for other in range(len(ZONES))]
    lines = [
        "[self]", f'node_name = "{zone}"', f'ip_addr = "{ip}"',
        f'zone = "{zone}"', f'region = "{ZONES[zone]}"',
        'serves = ["edge", "control", "directory"]', "fresh = true", "counts_loss = true",
        f'state_dir = "{folder / zone}"', "[self.limits]", "fd_limit = 1000",
        "[network]", f"port_range = [{post}, {post}]", f"seed_nodes = {json.dumps(seeds)}",
        "[network.bindings]", f'plain = "{ip}:{plain}"', f'ctl = "{ip}:{ctl}"', f'lookup = "{ip}:{ctl}"',
        f'readiness = "{ip}:{ctl}"', "[network.zones]",
        *(f'{name} = "{region}"' for name, region in ZONES.items()),
        "[platform.cloud_api]", f'address = "{cloud}"', "[terms.bounds]",
    ]  # fmt: skip
    path = folder / f"{zone}.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def configuration(version: int) -> str:
    """One service, one route, one tenant with a quota of 5 requests a second."""
    route = {"host": HOST, "path_prefix": "/pages/", "variant_tag": "idempotent", "deadline": "3s",
             "target_time": "800ms", "rank": 1, "target": "shop", "max_tries": 2}  # fmt: skip
    tenant = {"api_keys": [KEY], "rate_per_s": 5, "burst_size": 5}
    return json.dumps({
        "revision": f"{version:08x}",
        "resources": [
            {"variant": "services", "meta": {"name": "shop"}, "spec": {"warmup": "3s", "warmup_rate_s": 2}},
            {"variant": "routes", "meta": {"name": "pages"}, "spec": route},
            {"variant": "tenants", "meta": {"name": "readers"}, "spec": tenant},
        ],
    })  # fmt: skip


def call(method: str, url: str, body: str = "") -> tuple[int, str]:
    """Send an operator's request; returns status and text, with status 0 if there is no answer."""
    request = urllib.request.Request(url, body.encode() or None, method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, ""
    except OSError:
        return 0, ""


def wait_until(description: str, method: str, url: str, body: str = "") -> str:
    """Repeat a request until it is answered with 200, as an operator does."""
    deadline = time.monotonic() + START_S
    while time.monotonic() < deadline:
        status, text = call(method, url, body)
        if status == 200:
            return text
        time.sleep(0.2)
    sys.exit(f"{description}: no answer with status 200 from {url} within {START_S:g} s")


def show(line: str) -> None:
    print(line, flush=True)


def main() -> int:
    servers = {
        f"i-{number}": (serve_in_background(toy_server(f"i-{number}")), zone)
        for number, zone in enumerate(ZONES)
    }
    cloud = serve_in_background(platform(servers))
    plain, ctl, post = ports(3)
    processes: list[subprocess.Popen[bytes]] = []
    stop = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stop.set())
    with tempfile.TemporaryDirectory(prefix="millfront-") as name:
        try:
            for number in range(len(ZONES)):
                path = settings(Path(name), number, cloud, plain, ctl, post)
                command = [sys.executable, "-B", "-m", "millfront", "gatekeeper"]
                environment = os.environ | {"MILLFRONT_CONFIG": str(path)}
                processes.append(subprocess.Popen(command, env=environment))
            wait_until("the configuration", "PUT", f"http://127.0.0.2:{ctl}/v1/config", configuration(1))
            for number in range(len(ZONES)):
                wait_until("readiness", "GET", f"http://127.0.0.{number + 1}:{ctl}/v1/readiness")
            show(f"where:    curl 'http://127.0.0.1:{ctl}/v1/resolve?name={HOST}&region=a&zone=north'")
            show(f"ask:      curl -i http://127.0.0.1:{plain}/pages/1 -H 'Host: {HOST}' \\")
            show(f"            -H 'Authorization: Token {KEY}' -H 'Millfront-Attempt-Id: 1' \\")
            show("            -H 'Millfront-Deadline-Ms: 3000'")
            show(f"read:     curl http://127.0.0.3:{ctl}/v1/config")
            show(f"evacuate: curl -X POST http://127.0.0.2:{ctl}/v1/evacuation/north    (-X DELETE: back)")
            show(f"state of each gatekeeper: {name}/ZONE; Ctrl-C ends all")
            stop.wait()
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(10)
    return 0


if __name__ == "__main__":
    sys.exit(main())
