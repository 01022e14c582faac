"""One gatekeeper on loopback between a simulated platform, scripted servers and raw clients: the bytes that
clients, servers and operators see."""

import asyncio
import json
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from millfront.cli import gatekeeper as cli
from millfront.discovery.platform_client import PlatformError, read_list
from millfront.discovery.server_list import PlatformList, ServerList
from millfront.environment import Bounds, Settings
from millfront.gatekeeper.process import GatekeeperProcess
from millfront.node import clients
from millfront.node.link import INTERNAL_ERROR, Link
from millfront.register import bootstrap
from tests.system_world import document

OPENAPI = Path(__file__).parent.parent / "docs" / "openapi" / "gatekeeper.json"
STREAM_LIMIT = 2**16  # bytes that a reader buffers
Script = Callable[[bytes, asyncio.StreamWriter, int], Awaitable[None]]


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def field(head: bytes, name: str) -> bytes:
    found = re.search(rb"(?im)^" + name.encode() + rb": ([^\r]*)\r$", head)
    return found[1] if found else b""


def answer(
    head: bytes, body: bytes = b"page", status: str = "200 OK", more: str = "", own: bytes = b""
) -> bytes:
    name = own or field(head, "Millfront-Attempt-Id")
    start = f"HTTP/1.1 {status}\r\nMillfront-Attempt-Id: ".encode() + name
    return start + f"\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


SEAL = "Millfront-Server-Seal: 1\r\n"


class RunningGatekeeper:
    """A gatekeeper, its platform and servers, and the requests that the servers received."""

    def __init__(self) -> None:
        self.service: GatekeeperProcess
        self.running: asyncio.Task[int]
        self.seen: list[tuple[int, bytes, bytes]] = []  # server, head, body
        self.scripts: list[Script] = []
        self.instances: dict[str, Any] = {}
        self.plain = self.ctl = ""
        self.servers: list[asyncio.Server] = []
        self.request_started = asyncio.Event()
        self.connection_lost = asyncio.Event()

    async def serve(self, number: int) -> str:
        """Start a server that reads complete requests and answers each by the script in force."""

        async def serving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.request_started.set()
                    body = await reader.readexactly(int(field(head, "Content-Length") or 0))
                    self.seen.append((number, head, body))
                    await self.scripts[min(len(self.seen), len(self.scripts)) - 1](head, writer, number)
            except (asyncio.IncompleteReadError, ConnectionError):
                self.connection_lost.set()
            finally:
                writer.close()

        server = await asyncio.start_server(serving, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def platform(self) -> str:
        async def listing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            page = json.dumps({"instances": self.instances, "next_token": None}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(page), page))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(listing, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def ask(
        self, method: str, path: str, body: bytes = b"", at: str = "", more: str = ""
    ) -> tuple[int, bytes, bytes]:
        """Make a request on a new connection; returns status, head, body."""
        reader, writer = await connect(at or self.plain)
        try:
            return await exchange(reader, writer, method, path, body, more)
        finally:
            writer.close()

    async def put(self, text: str) -> int:
        return (await self.ask("PUT", "/v1/config", text.encode(), self.ctl))[0]

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not condition():
                self.service.gatekeeper.tick(self.service.now())
                await asyncio.sleep(0)


async def connect(
    address: str, limit: int = STREAM_LIMIT
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address with a port."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=limit)


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, method: str, path: str, body: bytes, more: str
) -> tuple[int, bytes, bytes]:
    fields = (
        f"Host: a.example\r\nMillfront-Attempt-Id: {path[-2:]}9c\r\nMillfront-Deadline-Ms: 3000\r\n{more}"
    )
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    writer.write(f"{method} {path} HTTP/1.1\r\n{fields}{length}\r\n".encode() + body)
    async with asyncio.timeout(6):
        head = await reader.readuntil(b"\r\n\r\n")
        got = await reader.readexactly(int(field(head, "Content-Length") or 0))
    return int(head.split()[1]), head, got


KEY = "Authorization: Token key-1\r\n"


@asynccontextmanager
async def running_gatekeeper(
    tmp_path: Path,
    scripts: list[Script],
    servers: int = 2,
    system: RunningGatekeeper | None = None,
    bounds: Bounds | None = None,
) -> AsyncIterator[RunningGatekeeper]:
    system = system or RunningGatekeeper()
    system.scripts = scripts
    for number in range(servers):
        system.instances[f"i-{number}"] = {"target": "shop", "address": await system.serve(number),
                                           "zone": "aa",
                                           "revision": "v1", "capacity": 3, "phase": "ready",
                                           "warm_left": "0ms"}  # fmt: skip
    cloud, port = await system.platform(), free_port()
    system.plain, system.ctl = (f"127.0.0.1:{free_port()}" for _ in range(2))
    control_apis = dict.fromkeys(("ctl", "lookup", "readiness"), system.ctl)
    settings = Settings(
        name="n", ip="127.0.0.1", zone="aa", region="a", fresh=True, counts_loss=True,
        state_dir=str(tmp_path),
        serves=("edge", "control", "directory"), ram_mb=100, fd_limit=1000, port=port,
        seeds=(system.ctl,), bindings={"plain": system.plain} | control_apis,
        zones={"aa": "a", "ba": "b"}, cloud=cloud, cloud_rate=9.0, cloud_lag=0.5, bounds=bounds or Bounds(),
    )  # fmt: skip
    from millfront.storage.disk import Disk
    from millfront.storage.operations_disk import OperationsDisk

    disk, operations = Disk(str(tmp_path)), OperationsDisk(str(tmp_path))
    stored, _ = disk.load()
    rows, _ = operations.load()
    system.service = GatekeeperProcess(settings, stored, disk, 0, operations, rows)
    running = system.running = asyncio.get_running_loop().create_task(system.service.run())
    try:
        await asyncio.sleep(0)
        system.service.gatekeeper.membership.heard_any = True  # there are no other members to wait for
        await system.until(lambda: system.service.gatekeeper.subscriber.core is not None)
        assert await system.put(document(1)) == 200
        await system.until(lambda: system.service.gatekeeper.ready(system.service.now()))
        yield system
    finally:
        running.cancel()
        for server in system.servers:
            server.close()
        system.service.disk_executor.shutdown()
        system.service.operations_executor.shutdown()


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """A core of one does not need to wait for others."""
    monkeypatch.setattr(bootstrap, "MIN_UPTIME_S", 0.0)
    monkeypatch.setattr(bootstrap, "SETTLE_S", 0.0)


async def serves(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
    writer.write(answer(head, more=SEAL))


def sends(**how: Any) -> Script:
    async def script(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
        writer.write(answer(head, **how))

    return script


async def disconnects(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
    writer.close()


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())  # type: ignore[arg-type]


def test_the_code_answers_what_the_openapi_file_names(tmp_path: Path) -> None:
    openapi = json.loads(OPENAPI.read_text())

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            for path, calls in openapi["paths"].items():
                for method in ("get", "put", "post", "delete"):
                    target = path.replace("{zone}", "ba")
                    body = document(2).encode() if method == "put" else b""
                    status, _, got = await system.ask(method.upper(), target, body, system.ctl)
                    named = calls.get(method, {"responses": {"404": {}}})["responses"]
                    assert str(status) in named, (method, path, status)
                    if status == 200 and "content" in named["200"]:
                        json.loads(got)
            assert (await system.ask("PUT", "/v1/config", b'{"revision":"0', system.ctl))[0] == 400
            assert (await system.ask("POST", "/v1/evacuation/nowhere", b"", system.ctl))[0] == 404
            got = (await system.ask("GET", "/v1/resolve?region=a", b"", system.ctl))[2]
            assert json.loads(got) == {"addresses": [system.plain], "valid": "2s"}
            assert (
                json.loads((await system.ask("GET", "/v1/config", b"", system.ctl))[2])["revision"]
                == "00000002"
            )

    run_scenario(scenario)


def test_what_an_operator_asks_is_told_and_a_snapshot_comes_back_into_an_empty_core(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def asked(ctl: str, *words: str) -> tuple[int, str]:
        """Run one of the commands; in a thread beside the event loop."""
        with pytest.raises(SystemExit) as ended:
            cli.group([*words[:1], "--at", ctl, *words[1:]])
        return int(ended.value.code or 0), capsys.readouterr().out

    async def scenario() -> None:
        file = tmp_path / "snapshot.json"
        async with running_gatekeeper(tmp_path / "one", [serves]) as system:
            code, output = await asyncio.to_thread(asked, system.ctl, "show", "--json")
            assert (code, json.loads(output)["roster"][0]["version"]) == (0, "00000001")
            assert json.loads(output)["replica"]["held"]["config"] == 1
            code, output = await asyncio.to_thread(asked, system.ctl, "why", "--part", "register")
            assert (
                code == 0
                and "configuration 00000001 is in force" in output
                and "founds a core of 1" in output
            )
            assert await system.put(document(8, {"t": ["key-1"]}, rate=1.0)) == 200
            assert (await system.ask("POST", "/p/a1", b"x", more=KEY))[0] == 200
            granter = system.service.gatekeeper.quotas.granter
            granter.grant(system.service.now(), "t", 1000.0)  # other processes have used all tokens
            assert (await system.ask("POST", "/p/a2", b"x", more=KEY))[0] == 429
            code, output = await asyncio.to_thread(asked, system.ctl, "tenant", "t")
            assert code == 0 and "1 with no token left anywhere" in output
            assert (await asyncio.to_thread(asked, system.ctl, "tenant", "nobody"))[0] == 1
            assert await system.put(document(9)) == 200
            assert (await asyncio.to_thread(asked, system.ctl, "export", str(file)))[0] == 0
        async with running_gatekeeper(tmp_path / "two", [serves]) as system:
            assert (await asyncio.to_thread(asked, system.ctl, "import", str(file)))[0] == 0
            await system.until(lambda: system.service.gatekeeper.configuration.version == 9)  # type: ignore[union-attr]
            file.write_text(file.read_text().replace("0000000", "0000001", 1))
            assert (await asyncio.to_thread(asked, system.ctl, "import", str(file)))[0] == 2
            assert (await system.ask("PUT", "/v1/register", file.read_bytes(), system.ctl))[0] == 400

    run_scenario(scenario)


def test_a_request_goes_on_with_its_tenant_and_without_its_key(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            more = KEY + "Millfront-Tenant-Name: forged\r\nX-Own: 7\r\n"
            status, head, body = await system.ask("POST", "/p/a1?q=2", b"order", more=more)
            assert (status, body) == (200, b"page") and field(head, "Millfront-Server-Seal") == b"1"
            number, head, body = system.seen[0]
            assert head.startswith(b"POST /p/a1?q=2 HTTP/1.1\r\n") and body == b"order"
            assert field(head, "Millfront-Tenant-Name") == b"t" and field(head, "X-Own") == b"7"
            assert field(head, "Millfront-Target-Instance") == b"i-%d" % number
            assert b"key-1" not in head and b"forged" not in head
            assert 0 < int(field(head, "Millfront-Deadline-Ms")) <= 3000

    run_scenario(scenario)


def test_a_request_that_no_configuration_allows_is_refused_and_reaches_no_server(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            assert (await system.ask("GET", "/other/a1", more=KEY))[0] == 404
            assert (await system.ask("GET", "/p/a1"))[0] == 401
            assert (await system.ask("GET", "/p/a1", more=KEY.replace("key-1", "key-2")))[0] == 401
            assert system.seen == []

    run_scenario(scenario)


def test_a_process_with_unconfirmed_state_answers_503_instead_of_refusing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            fields = json.loads(document(2, {"t": ["key-1"]}))
            fields["resources"].append(json.loads(json.dumps(fields["resources"][0])))
            fields["resources"][-1]["meta"]["name"] = "open"
            fields["resources"][-1]["spec"] |= {"path_prefix": "/open/", "public": True}
            assert await system.put(json.dumps(fields)) == 200
            system.service.gatekeeper.subscriber.replicas.clear()  # nobody confirms that this is the newest
            unknown = KEY.replace("key-1", "key-2")
            for path, key in (("/other/a1", KEY), ("/p/a1", unknown), ("/p/a1", ""), ("/p/a1", KEY)):
                status, head, _ = await system.ask("GET", path, more=key)
                assert status == 503 and float(field(head, "Retry-After")) > 0, (path, key)
            status, head, _ = await system.ask("GET", "/v1/readiness", b"", system.ctl)
            assert status == 503 and field(head, "Retry-After")
            assert system.seen == []
            assert (await system.ask("GET", "/open/a2"))[0] == 200  # public routes are still served

    run_scenario(scenario)


def test_an_evacuation_whose_operator_has_hung_up_is_not_begun(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            service, held = system.service, list[Any]()
            sync = service.persist
            service.persist = held.append  # type: ignore[method-assign, assignment]
            _, writer = await connect(system.ctl)
            writer.write(b"POST /v1/evacuation/ba HTTP/1.1\r\nHost: a\r\n\r\n")
            await system.until(lambda: bool(held))
            writer.close()
            await system.until(lambda: not any(api.server.unanswered_count() for api in service.control_apis))
            service.persist = sync  # type: ignore[method-assign]
            for persist in held:
                service.persist(persist)
            await system.until(lambda: not service.gatekeeper.open_rounds)
            assert not service.gatekeeper.evacuated
            assert (await system.ask("POST", "/v1/evacuation/ba", b"", system.ctl))[0] == 200
            assert sorted(service.gatekeeper.evacuated) == ["ba"]

    run_scenario(scenario)


def test_a_key_removed_between_two_requests_of_one_connection_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            reader, writer = await connect(system.plain)
            assert (await exchange(reader, writer, "POST", "/p/a1", b"x", KEY))[0] == 200
            assert await system.put(document(2, {"t": ["key-2"]})) == 200
            assert (await exchange(reader, writer, "POST", "/p/a2", b"x", KEY))[0] == 401
            writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    "turned",
    [
        sends(status="421 Misdirected Request"),
        sends(status="503 Service Unavailable", more="Millfront-Not-Executed: 1\r\n"),
    ],
)
def test_a_request_that_a_server_did_not_start_goes_to_another(tmp_path: Path, turned: Script) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [turned, serves]) as system:
            assert (await system.ask("POST", "/p/a1", b"order", more=KEY))[0] == 200
            assert len({number for number, _, _ in system.seen}) == 2

    run_scenario(scenario)


@pytest.mark.parametrize(
    "script",
    [
        disconnects,
        sends(),  # a success without the server's seal
        sends(more=SEAL, own=b"another"),
        sends(more=SEAL + "Content-Encoding: gzip\r\n"),
    ],
)
def test_a_request_that_may_have_run_is_not_retried_and_promises_nothing(
    tmp_path: Path, script: Script
) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [script, serves]) as system:
            assert (await system.ask("POST", "/p/a1", b"order", more=KEY))[0] == 502
            assert len(system.seen) == 1

    run_scenario(scenario)


def test_an_answer_cut_anywhere_in_its_head_is_no_success(tmp_path: Path) -> None:
    whole = answer(b"\r\nMillfront-Attempt-Id: b79c\r\n", b"page", more=SEAL)

    def cut_at(at: int) -> Script:
        async def script(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
            writer.write(whole[:at])
            await writer.drain()
            writer.close()

        return script

    async def scenario() -> None:
        places = range(1, len(whole), 7)
        async with running_gatekeeper(tmp_path, [cut_at(at) for at in places], servers=1) as system:
            for _ in places:
                # Ejection of the server is not tested here
                system.service.proxy.load_balancer.server_states["i-0"].failures = 0
                assert (await system.ask("POST", "/p/b7", b"order", more=KEY))[0] == 502

    run_scenario(scenario)


def test_a_second_answer_after_a_whole_one_answers_nobody(tmp_path: Path) -> None:
    async def twice(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
        writer.write(answer(head, b"mine", more=SEAL) + answer(head, b"nobody's", more=SEAL))

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [twice, serves], servers=1) as system:
            assert (await system.ask("POST", "/p/a1", b"x", more=KEY))[2] == b"mine"
            assert (await system.ask("POST", "/p/a2", b"x", more=KEY))[2] == b"page"

    run_scenario(scenario)


def test_an_address_that_another_service_took_over_gets_nothing_on_the_old_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            one = system.instances.pop("i-1")
            await system.until(
                lambda: system.service.gatekeeper.server_list.servers["i-1"].phase.name == "GONE"
            )
            assert (await system.ask("POST", "/p/a1", b"x", more=KEY))[0] == 200
            assert system.service.proxy.members.get("i-0").idle_connections  # type: ignore[union-attr]
            system.instances |= {"i-9": system.instances.pop("i-0") | {"target": "lab"}, "i-2": one}
            await system.until(lambda: "i-9" in system.service.gatekeeper.server_list.servers)
            assert (await system.ask("POST", "/p/a2", b"x", more=KEY))[0] == 200
            assert [
                (number, field(head, "Millfront-Target-Instance")) for number, head, _ in system.seen
            ] == [
                (0, b"i-0"),
                (1, b"i-2"),
            ]

    run_scenario(scenario)


def test_the_configuration_s_limit_of_a_body_is_held_to(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            fields = json.loads(document(2, {"t": ["key-1"]}))
            fields["resources"].append({"variant": "limits", "meta": {}, "spec": {"max_body_bytes": 100_000}})
            assert await system.put(json.dumps(fields)) == 200
            assert (await system.ask("POST", "/p/a1", b"x" * 100_000, more=KEY))[0] == 200
            assert (await system.ask("POST", "/p/a2", b"x" * 100_001, more=KEY))[0] == 413
            assert len(system.seen) == 1

    run_scenario(scenario)


def test_a_client_is_told_how_long_its_connection_may_lie_idle(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            assert (
                field((await system.ask("POST", "/p/a1", b"x", more=KEY))[1], "Keep-Alive") == b"timeout=14"
            )
            system.service.proxy.server.set_closing(True)
            _, head, _ = await system.ask("POST", "/p/a2", b"x", more=KEY)
            assert field(head, "Connection") == b"close" and not field(head, "Keep-Alive")

    run_scenario(scenario)


async def idle_connection(system: RunningGatekeeper) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A client connection that is idle after an answer."""
    reader, writer = await connect(system.plain)
    assert (await exchange(reader, writer, "POST", "/p/a1", b"x", KEY))[0] == 200
    return reader, writer


def with_idle_timeout(version: int, idle: str) -> str:
    return document(version, {"t": ["key-1"]}, limits={"idle_timeout": idle})


def test_a_lower_idle_timeout_binds_a_connection_from_its_next_answer_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            server = system.service.proxy.server
            reader, writer = await idle_connection(system)  # its answer says 14 s
            (connection,) = server._connections
            assert await system.put(with_idle_timeout(2, "4s")) == 200
            since = connection.idle_since_us
            connection.check_timeouts(since + 12_000_000, server.request_read_timeout_us)
            assert connection in server._connections
            head = (await exchange(reader, writer, "POST", "/p/a2", b"x", KEY))[1]
            assert field(head, "Keep-Alive") == b"timeout=3"
            since = connection.idle_since_us
            connection.check_timeouts(since + 3_900_000, server.request_read_timeout_us)
            assert connection in server._connections
            connection.check_timeouts(since + 4_100_000, server.request_read_timeout_us)
            assert connection not in server._connections
            writer.close()

    run_scenario(scenario)


def test_a_connection_on_which_a_request_has_come_is_not_closed_for_idleness(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            server = system.service.proxy.server
            reader, writer = await idle_connection(system)
            (connection,) = server._connections
            fields = f"Host: a.example\r\nMillfront-Attempt-Id: a29c\r\n{KEY}"
            writer.write(f"GET /p/a2 HTTP/1.1\r\n{fields}\r\n".encode())
            # before the request is read
            connection.check_timeouts(connection.idle_since_us + 60_000_000, server.request_read_timeout_us)
            async with asyncio.timeout(5):
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
            writer.close()

    run_scenario(scenario)


def test_at_its_end_a_node_waits_for_a_client_that_takes_its_answer_slowly(tmp_path: Path) -> None:
    """The answer says `Connection: close`, and the server has sent it long before the client has read it."""
    size = 9_000_000
    shutting_down = asyncio.Event()

    async def sends_during_the_shutdown(head: bytes, writer: asyncio.StreamWriter, number: int) -> None:
        await shutting_down.wait()
        await sends(body=b"y" * size, more=SEAL)(head, writer, number)

    async def scenario() -> None:
        bounds = Bounds(grace_period=2.0)
        async with running_gatekeeper(
            tmp_path, [sends_during_the_shutdown], servers=1, bounds=bounds
        ) as system:
            reader, writer = await connect(system.plain, limit=4096)
            fields = f"Host: a.example\r\nMillfront-Attempt-Id: a19c\r\n{KEY}"
            server, proxy = system.service.proxy.server, system.service.proxy
            server.buffer_budget.limit = 4 * size  # the server finishes while the client still reads
            writer.write(f"GET /p/a1 HTTP/1.1\r\n{fields}\r\n".encode())
            await system.until(lambda: len(system.seen) == 1)
            system.service.ending.set()
            await system.until(lambda: not proxy.admitting)
            shutting_down.set()
            await system.until(lambda: len(proxy.open_requests) == 0)
            connection = next(iter(server._connections))
            assert server.unsent_count() == 1
            connection.check_timeouts(server.clock.now() + 2_000_000, server.request_read_timeout_us)
            async with asyncio.timeout(5):
                head = await reader.readuntil(b"\r\n\r\n")
                assert field(head, "Connection") == b"close"
                assert len(await reader.readexactly(size)) == size
            writer.close()

    run_scenario(scenario)


def test_a_request_that_comes_too_late_in_a_shutdown_is_refused_and_reaches_no_server(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that were passed on although the process ends before they can be answered."""
    monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_US", 60_000_000)  # the new connection is kept open

    async def scenario() -> None:
        bounds = Bounds(grace_period=3.0)
        async with running_gatekeeper(tmp_path, [serves], bounds=bounds) as system:
            server = system.service.proxy.server
            system.service.ending.set()
            await system.until(lambda: server.closing)
            reader, writer = await connect(system.plain)
            await system.until(lambda: server._listener is None)
            status, head, _ = await exchange(reader, writer, "POST", "/p/a1", b"x", KEY)
            assert (status, field(head, "Connection"), system.seen) == (503, b"close", [])
            assert float(field(head, "Retry-After")) > 0.0
            writer.close()

    run_scenario(scenario)


def test_a_request_that_still_waits_for_a_server_at_the_end_of_a_shutdown_is_refused(tmp_path: Path) -> None:
    """Guards against requests that were read, passed on to no server, and ended with a closed connection."""

    async def scenario() -> None:
        bounds = Bounds(grace_period=1.0)
        async with running_gatekeeper(tmp_path, [serves], servers=0, bounds=bounds) as system:
            assert await system.put(document(2, {"t": ["key-1"]}, target_time="4s")) == 200
            asked = asyncio.get_running_loop().create_task(system.ask("POST", "/p/a1", b"x", more=KEY))
            await system.until(lambda: len(system.service.proxy.open_requests) == 1)
            system.service.ending.set()
            async with asyncio.timeout(5):
                await system.running
            assert len(system.service.proxy.open_requests) == 0
            assert (await asked)[0] == 503

    run_scenario(scenario)


def test_a_request_held_for_a_server_goes_to_no_zone_that_is_evacuated_meanwhile(tmp_path: Path) -> None:
    """The server is chosen before, and connected after the evacuation is in force."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves], servers=1) as system:
            proxy = system.service.proxy
            obtain = proxy.members.obtain
            dialled: list[Callable[[], object]] = []

            def later(member: Any, on_connected: Any) -> Callable[[], None]:
                dialled.append(lambda: obtain(member, on_connected))
                return lambda: None

            proxy.members.obtain = later  # type: ignore[method-assign]
            asked = asyncio.get_running_loop().create_task(system.ask("POST", "/p/a1", b"order", more=KEY))
            await system.until(lambda: bool(dialled))
            proxy.members.obtain = obtain  # type: ignore[method-assign]
            assert (await system.ask("POST", "/v1/evacuation/aa", at=system.ctl))[0] == 200
            dialled[0]()
            assert (await asked)[0] == 503
            assert system.seen == []

    run_scenario(scenario)


def test_a_list_of_before_the_end_of_an_evacuation_does_not_end_the_warm_up_of_its_servers(
    tmp_path: Path,
) -> None:
    """Guards against a list that runs `max_lag` behind and shows cold servers as warm."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves], servers=1) as system:
            gatekeeper, load_balancer = system.service.gatekeeper, system.service.proxy.load_balancer
            assert (await system.ask("POST", "/v1/evacuation/aa", at=system.ctl))[0] == 200
            assert (await system.ask("DELETE", "/v1/evacuation/aa", at=system.ctl))[0] == 200
            await system.until(lambda: not load_balancer.evacuated)
            ended = system.service.now()
            (server_state,) = load_balancer.server_states.values()
            entries = [["i-0", "shop", server_state.server.address, "aa", 3, 0, 0.0]]  # ready and warm
            lag = gatekeeper.settings.cloud_lag

            def read(at: float) -> None:
                number = gatekeeper.server_list.begin_poll(at)
                gatekeeper.polled(at, number, PlatformList(entries))

            for after in (0.1, lag - 0.01, lag + 0.01):
                read(ended + after)
                assert load_balancer.is_cold(ended + after, server_state)
            read(ended + lag + 1.0)
            assert not load_balancer.is_cold(ended + lag + 1.0, server_state)

    run_scenario(scenario)


def test_a_server_s_own_error_comes_back_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [sends(status="500 Oh", body=b"why")]) as system:
            status, _, body = await system.ask("POST", "/p/a1", b"order", more=KEY)
            assert (status, body, len(system.seen)) == (500, b"why", 1)

    run_scenario(scenario)


async def start_upload(system: RunningGatekeeper) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Start an upload of 360 kB and send 200 kB of it."""
    reader, writer = await connect(system.plain)
    fields = f"Host: a.example\r\nMillfront-Attempt-Id: ab\r\nContent-Length: 360000\r\n{KEY}"
    writer.write(f"POST /p/a1 HTTP/1.1\r\n{fields}\r\n".encode() + b"x" * 200_000)
    return reader, writer


def test_an_upload_whose_client_leaves_does_not_reach_a_server_whole(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves], servers=1) as system:
            _, writer = await start_upload(system)
            async with asyncio.timeout(5):
                await system.request_started.wait()
                writer.close()
                await system.connection_lost.wait()
            assert system.seen == []

    run_scenario(scenario)


def test_at_its_end_a_gatekeeper_finishes_the_upload_under_way(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves], servers=1) as system:
            reader, writer = await start_upload(system)
            async with asyncio.timeout(8):
                await system.request_started.wait()
                system.service.ending.set()
                await system.until(lambda: system.service.gatekeeper.membership.own_record.leaving)
                assert (await system.ask("GET", "/v1/readiness", at=system.ctl))[0] == 503
                writer.write(b"x" * 160_000)
                head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head and len(system.seen[0][2]) == 360_000
            writer.close()

    run_scenario(scenario)


def test_a_settings_file_that_is_torn_changes_nothing_and_a_whole_one_its_seeds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "node.toml"
    monkeypatch.setenv("MILLFRONT_CONFIG", str(file))
    whole = """
[self]
node_name = "n"
ip_addr = "127.0.0.1"
zone = "aa"
region = "a"
serves = ["edge"]
[self.limits]
[network]
port_range = [1, 2]
seed_nodes = ["10.9.9.9:81"]
[network.zones]
aa = "a"
[platform.cloud_api]
address = "127.0.0.1:1"
[terms.bounds]
"""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path / "disk", [serves], servers=1) as system:
            before = list(system.service.gatekeeper.membership.seeds)
            file.write_text(whole[: len(whole) // 2])
            system.service.reload()
            assert system.service.gatekeeper.membership.seeds == before
            system.service.check_settings_file()
            file.write_text(whole)
            system.service.check_settings_file()  # as each tick does, without a signal
            assert system.service.gatekeeper.membership.seeds[0].startswith("10.9.9.9:")

    run_scenario(scenario)


def test_a_key_removed_between_a_request_s_arrival_and_its_sending_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            proxy = system.service.proxy
            for seen in proxy.load_balancer.server_states.values():
                seen.paused_until = proxy.now() + 0.12  # no server accepts requests: the request is held
            asked = asyncio.get_running_loop().create_task(system.ask("POST", "/p/a1", b"order", more=KEY))
            await system.until(lambda: len(proxy.open_requests) == 1)
            assert await system.put(document(2, {"t": ["key-2"]})) == 200
            assert (await asked)[0] == 401
            assert system.seen == []

    run_scenario(scenario)


def test_nothing_is_sent_by_a_list_of_servers_that_is_too_old(tmp_path: Path) -> None:
    """The server may have been draining for too long; a request is refused even if it was chosen before."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            gatekeeper, proxy = system.service.gatekeeper, system.service.proxy
            for seen in proxy.load_balancer.server_states.values():
                seen.paused_until = proxy.now() + 0.12  # no server accepts requests: the request is held
            asked = asyncio.get_running_loop().create_task(system.ask("POST", "/p/a1", b"order", more=KEY))
            await system.until(lambda: len(proxy.open_requests) == 1)
            gatekeeper.server_list.usable = lambda now: False  # type: ignore[method-assign]
            assert (await asked)[0] == 503
            assert (await system.ask("POST", "/p/a1", b"order", more=KEY))[0] == 503
            assert system.seen == [] and not gatekeeper.ready(proxy.now())

    run_scenario(scenario)


@pytest.mark.parametrize("ends", ["kept", "said", "unsaid"])
def test_pages_go_over_one_connection_that_may_end_after_any(ends: str) -> None:
    """The platform keeps the connection open, announces that it closes it, or closes it unannounced."""
    connections = 0

    async def paging(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        while head := await reader.readline():
            page = int(head.partition(b"page_token=")[2].partition(b" ")[0] or 0)
            await reader.readuntil(b"\r\n\r\n")
            entry = {
                "target": "shop",
                "address": f"10.0.2.{page}:80",
                "zone": "aa",
                "capacity": 3,
                "phase": "ready",
            }
            token = str(page + 1) if page < 3 else None
            body = json.dumps({"instances": {f"i-{page}": entry}, "next_token": token}).encode()
            close = b"Connection: close\r\n" if ends == "said" else b""
            writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (close, len(body), body))
            await writer.drain()
            if ends != "kept":
                break
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(paging, "127.0.0.1", 0)
        found = await read_list(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        assert [entry[0] for entry in found.entries] == ["i-0", "i-1", "i-2", "i-3"] and found.calls == 4
        assert connections == (1 if ends == "kept" else 4)
        server.close()

    run_scenario(scenario)


def test_a_list_whose_second_page_is_refused_is_no_list() -> None:
    async def refusing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        page = json.dumps({"instances": {}, "next_token": "p-50"}).encode()
        status = b"429 Too Many Requests" if b"page_token=p-50" in head else b"200 OK"
        writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: %d\r\n\r\n%s" % (len(page), page))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(refusing, "127.0.0.1", 0)
        with pytest.raises(PlatformError, match="429"):
            await read_list(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        server.close()

    run_scenario(scenario)
    server_list = ServerList()
    server_list.poll_succeeded(
        1.0, server_list.begin_poll(1.0), [["i-1", "shop", "10.0.2.1:80", "aa", 3, 0, 0.0]]
    )
    server_list.begin_poll(2.0)
    server_list.poll_failed(2.0)
    assert server_list.servers["i-1"].phase.name == "READY"  # the list known before stays
    assert not server_list.due(2.1, lambda: 0) and server_list.due(2.6, lambda: 0)  # the next poll waits


HALF_A_HEAD = b"HEAD /other/a2 HTTP/1.1\r\nHost: a.example\r\nCookie: "


def test_a_client_that_goes_silent_in_a_second_head_ends_its_own_connection_alone(tmp_path: Path) -> None:
    """Guards against issue 65, 1: its time-out closed the listener and all connections of the process."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            for address, path in ((system.plain, "/p/a1"), (system.ctl, "/v1/readiness")):
                other_reader, other_writer = await connect(address)
                await exchange(other_reader, other_writer, "GET", path, b"", KEY)
                reader, writer = await connect(address)
                writer.write(b"HEAD /other/a1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 404 ")
                writer.write(HALF_A_HEAD)
                for server in (system.service.proxy.server, system.service.control_apis[0].server):
                    server.request_read_timeout_us = 100_000
                async with asyncio.timeout(5):
                    refused = await reader.read()
                assert refused.startswith(b"HTTP/1.1 408 ") and refused.endswith(b"in time\n")
                for server in (system.service.proxy.server, system.service.control_apis[0].server):
                    server.request_read_timeout_us = 5_000_000
                status, _, _ = await exchange(other_reader, other_writer, "GET", path, b"", KEY)
                assert status == 200
                assert (await system.ask("GET", path, b"", address, KEY))[0] == 200
                writer.close()
                other_writer.close()

    run_scenario(scenario)


def test_a_fault_of_one_connection_ends_that_connection_and_is_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against issue 65, 1: whatever a connection raises in a sweep reaches no other one."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            other_reader, other_writer = await connect(system.plain)
            reader, writer = await connect(system.plain)
            server = system.service.proxy.server
            await system.until(lambda: server.connection_count() == 2)
            *_, faulty = server._connections
            monkeypatch.setattr(
                clients.ClientConnection,
                "check_timeouts",
                lambda self, now_us, read_timeout_us: 1 / 0 if self is faulty else None,
            )
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            status, _, _ = await exchange(other_reader, other_writer, "GET", "/p/a1", b"", KEY)
            assert status == 200
            assert (await system.ask("GET", "/p/a2", more=KEY))[0] == 200
            text = (await system.ask("GET", "/v1/metrics", b"", system.ctl))[2]
            assert b"millfront_connection_faults_total 1\n" in text
            writer.close()
            other_writer.close()

    run_scenario(scenario)


def test_a_process_whose_listener_has_ended_is_not_ready_and_ends_with_an_error(tmp_path: Path) -> None:
    """Guards against issue 65, 1: a process that served nobody answered its readiness check with 200."""

    async def scenario() -> None:
        bounds = Bounds(grace_period=1.0)
        async with running_gatekeeper(tmp_path, [serves], bounds=bounds) as system:
            system.service.proxy.server.clock = None  # type: ignore[assignment]
            async with asyncio.timeout(5):
                assert await system.running == 1
            assert system.service.failed_part.startswith("the server at")
            assert not system.service.gatekeeper.ready(system.service.now())

    run_scenario(scenario)


def test_a_fault_while_a_request_is_read_is_counted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against faults of connections that no metric shows."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            reader, writer = await connect(system.plain)
            with monkeypatch.context() as patched:
                patched.setattr(clients.ClientConnection, "received", lambda self, data: 1 / 0)
                writer.write(b"GET /p/a1 HTTP/1.1\r\n\r\n")
                async with asyncio.timeout(5):
                    assert await reader.read() == b""
            text = (await system.ask("GET", "/v1/metrics", b"", system.ctl))[2]
            assert b"millfront_connection_faults_total 1\n" in text
            assert system.service.proxy.server.connection_count() == 0
            writer.close()

    run_scenario(scenario)


class FaultyOwner:
    """The owner of a connection: it fails once all that was written is taken."""

    def __init__(self) -> None:
        self.ended_why: list[str] = []

    def received(self, data: bytes) -> None:
        raise AssertionError("the peer sends nothing")

    def ended(self, why: str) -> None:
        self.ended_why.append(why)

    def drained(self) -> None:
        raise ZeroDivisionError


def test_the_owner_of_a_connection_is_told_of_a_fault_after_a_write() -> None:
    """Guards against connections that stay in the table once a callback after a write has failed."""

    async def scenario() -> None:
        loop, owner = asyncio.get_running_loop(), FaultyOwner()
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        link = Link(near, owner, loop)
        link.write(b"x" * (4 * 1024 * 1024))  # more than the sockets' buffers take
        assert link.unsent
        async with asyncio.timeout(5):
            while await loop.sock_recv(far, STREAM_LIMIT):
                pass
        assert link.closed and owner.ended_why == [INTERNAL_ERROR]
        far.close()

    run_scenario(scenario)


def test_a_connect_request_is_refused_and_reaches_no_server(tmp_path: Path) -> None:
    """Guards against a server's 200 to CONNECT: the client got no answer, as what follows one is a tunnel."""

    async def scenario() -> None:
        async with running_gatekeeper(tmp_path, [serves]) as system:
            for address in (system.plain, system.ctl):
                reader, writer = await connect(address)
                status, _, _ = await exchange(reader, writer, "CONNECT", "a.example:80", b"", KEY)
                assert status == 501
                async with asyncio.timeout(5):
                    assert await reader.read() == b""
                writer.close()
                assert (await system.ask("CONNECT", "/p/a1", more=KEY))[0] == 501
            assert system.seen == []

    run_scenario(scenario)
