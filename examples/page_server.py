"""A toy page server to try a gatekeeper with: answers each request after 50 ms, and bills one unit.

python examples/page_server.py 127.0.0.1:9081
"""

import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SERVICE_TIME_S = 0.05


class PageServer(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        time.sleep(SERVICE_TIME_S)
        body = f"{self.command} {self.path}, request {self.headers.get('Request-Id')}\n".encode()
        self.send_response(200)
        self.send_header("Content-Type", "text/plain")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Billed-Units", "1")
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET

    def log_message(self, format: str, *args: object) -> None:
        pass


def main() -> None:
    if len(sys.argv) != 2 or ":" not in sys.argv[1]:
        sys.exit("usage: page_server.py HOST:PORT")
    host, _, port = sys.argv[1].rpartition(":")
    with ThreadingHTTPServer((host, int(port)), PageServer) as server:
        print(f"page server at {host}:{server.server_port}", flush=True)
        server.serve_forever()


if __name__ == "__main__":
    main()
