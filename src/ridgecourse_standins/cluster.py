"""A whole deployment on loopback: stand-ins, entries and agents as processes."""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from tempfile import mkdtemp
from time import monotonic, sleep
from typing import Any, NamedTuple

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from ridgecourse.net.auth import token_digest
from ridgecourse_standins.managed import Managed, ProcessFailed
from ridgecourse_standins.ports import free_address

SHARED_KEY = "shared-key-of-the-stand-in-deployment"
OPERATOR_TOKEN = "operator-token"
FLEET = "demo"
MODEL_SERVICE = "text"
PLAIN_SERVICE = "orders"
POLL_SECONDS = 0.05
WAIT_SECONDS = 40.0


class Plan(NamedTuple):
    """What a deployment consists of.

    Attributes:
        domains: Names of the failure domains.
        entries: Entries in each domain.
        targets: Model targets in each domain.
        plain: Plain targets in the first domain.
        origin_rate: Bytes a second of the origin's link; None for no limit.
        agent: Settings that every agent gets besides its own.
        entry: Settings that every entry gets besides its own.
        slots: Requests that an engine runs at once.
        step_seconds: Length of an engine's step.
        fenced: Whether engines refuse old fencing tokens.
        relayed: Whether all that crosses a domain's border goes through relays,
            so that it can be cut.
        entry_module: Program of the entries; benchmarks run baselines instead.
        agent_module: The same of the agents.
        engines_per_process: Engines that share one process, to save memory.
        origin_copies: Copies of a version that the origin may send.
    """

    domains: tuple[str, ...] = ("montreal", "quebec", "saguenay")
    entries: int = 2
    targets: int = 2
    plain: int = 1
    origin_rate: float | None = None
    agent: dict[str, Any] = {}
    entry: dict[str, Any] = {}
    slots: int = 8
    step_seconds: float = 0.0095
    fenced: bool = True
    engines_per_process: int = 1
    relayed: bool = False
    entry_module: str = "ridgecourse.entry.main"
    agent_module: str = "ridgecourse.agent.main"
    origin_copies: int = 1


class Node(NamedTuple):
    """An entry or agent with its settings."""

    managed: Managed
    domain: str
    settings: dict[str, Any]

    @property
    def http(self) -> str:
        """Return the address of its HTTP server."""
        return self.settings["http"]


class Cluster:
    """Starts, reaches and ends a deployment.

    Attributes:
        directory: Where settings, events and logs stand.
        models: Where versions stand, one directory each.
    """

    def __init__(self, plan: Plan, directory: Path | None = None) -> None:
        self.plan = plan
        self.directory = directory or Path(mkdtemp(prefix="ridgecourse-"))
        self.models = self.directory / "models"
        self.models.mkdir(parents=True, exist_ok=True)
        self.pool = PoolManager(maxsize=64, retries=False)
        self.standins: dict[str, Managed] = {}
        self.addresses: dict[str, str] = {}
        self.entries: list[Node] = []
        self.agents: list[Node] = []
        self.engines: dict[str, Managed] = {}
        self.routes: list[tuple[str, str, str]] = []

    def start(self) -> None:
        """Start everything; returns once all processes listen."""
        self._start_standins()
        self._make_entries()
        self._make_agents()
        if self.plan.relayed:
            self._start_relays()
        for node in [*self.entries, *self.agents]:
            node.managed.start()
        for node in [*self.entries, *self.agents]:
            node.managed.wait_event("started")

    def close(self) -> None:
        """End all processes."""
        for managed in self.processes():
            managed.close()
        self.pool.clear()

    def __enter__(self) -> "Cluster":
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def processes(self) -> Iterator[Managed]:
        """Yield every process."""
        for node in [*self.entries, *self.agents]:
            yield node.managed
        yield from self.engines.values()
        yield from self.standins.values()

    def standin(self, name: str, module: str, *arguments: str) -> Managed:
        """Start a stand-in on a free port."""
        return self.shared_standin([name], module, *arguments)

    def shared_standin(self, names: list[str], module: str, *arguments: str) -> Managed:
        """Start several stand-ins of a kind as one process."""
        addresses = {name: free_address() for name in names}
        listen = ",".join(addresses.values())
        command = ["-m", f"ridgecourse_standins.{module}", "--listen", listen]
        managed = Managed(names[0], [*command, *arguments], self.directory)
        managed.start()
        self.addresses.update(addresses)
        return managed

    def _start_standins(self) -> None:
        rate = self.plan.origin_rate
        limit = [] if rate is None else ["--rate", str(rate)]
        self.standins["log"] = self.standin("log", "log")
        self.standins["origin"] = self.standin(
            "origin", "origin", str(self.models), *limit
        )
        self.standins["instances"] = self.standin("instances", "instances")
        for managed in self.standins.values():
            managed.wait_listening()

    def _node(
        self, role: str, name: str, domain: str, settings: dict[str, Any]
    ) -> Node:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        modules = {"entry": self.plan.entry_module, "agent": self.plan.agent_module}
        command = ["-m", modules[role], str(path)]
        return Node(Managed(name, command, self.directory), domain, settings)

    def _make_entries(self) -> None:
        names = [
            (f"entry-{domain}-{number}", domain)
            for domain in self.plan.domains
            for number in range(self.plan.entries)
        ]
        addresses = {name: free_address() for name, _ in names}
        outside = {name: self.relay(domain, addresses[name]) for name, domain in names}
        for name, domain in names:
            peers = [address for other, address in outside.items() if other != name]
            settings = {
                "process": name,
                "domain": domain,
                "http": addresses[name],
                "log": self.relay("platform", self.addresses["log"]),
                **self.source_of(domain),
                "peers": peers,
                "shared_key": SHARED_KEY,
                "operators": [
                    {
                        "name": "demo",
                        "token_digest": token_digest(OPERATOR_TOKEN),
                        "role": "operator",
                    }
                ],
                **self.plan.entry,
            }
            self.entries.append(self._node("entry", name, domain, settings))

    def _make_agents(self) -> None:
        self._start_engines()
        for domain in self.plan.domains:
            for number in range(self.plan.targets):
                self.add_agent(f"{domain}-{number}", domain, "model")
        for number in range(self.plan.plain):
            self.add_agent(f"plain-{number}", self.plan.domains[0], "plain")
        for managed in self.engines.values():
            managed.wait_listening()

    def _start_engines(self) -> None:
        """Start the engines of all model targets."""
        names = [
            f"engine-{domain}-{number}"
            for domain in self.plan.domains
            for number in range(self.plan.targets)
        ]
        share = self.plan.engines_per_process
        for start in range(0, len(names), share):
            group = names[start : start + share]
            managed = self.shared_standin(group, "engine", *self._engine_arguments())
            for name in group:
                self.engines[name.removeprefix("engine-")] = managed

    def _engine_arguments(self) -> list[str]:
        plan = self.plan
        options = ["--slots", str(plan.slots), "--step-seconds", str(plan.step_seconds)]
        return options if plan.fenced else [*options, "--ignore-tokens"]

    def add_agent(self, target: str, domain: str, kind: str) -> Node:
        """Prepare, but do not start, an agent; start its engine if need be."""
        name = f"engine-{target}"
        if kind == "plain":
            self.engines[target] = self.standin(name, "plain")
        elif target not in self.engines:
            arguments = self._engine_arguments()
            self.engines[target] = self.standin(name, "engine", *arguments)
        settings = {
            "process": f"agent-{target}",
            "domain": domain,
            "fleet": FLEET,
            "target": target,
            "http": free_address(),
            "control": free_address(),
            "log": self.relay("platform", self.addresses["log"]),
            "origin": self.relay("platform", self.addresses["origin"]),
            **self.source_of(domain),
            "engine": {
                "address": self.addresses[name],
                "kind": kind,
                "slots": self.plan.slots,
                "fenced": self.plan.fenced,
            },
            "shared_key": SHARED_KEY,
            **self.plan.agent,
        }
        self.relay(domain, settings["http"])
        self.relay(domain, settings["control"])
        node = self._node("agent", f"agent-{target}", domain, settings)
        self.agents.append(node)
        return node

    # Cutting domains off.

    def source_of(self, domain: str) -> dict[str, str]:
        """Return the setting by which relays know a domain's processes."""
        if not self.plan.relayed:
            return {}
        return {"source": f"127.0.{1 + self.plan.domains.index(domain)}.1"}

    def relay(self, side: str, address: str) -> str:
        """Return the address by which others reach a process."""
        if not self.plan.relayed:
            return address
        listen = free_address()
        self.routes.append((side, listen, address))
        return listen

    def _start_relays(self) -> None:
        sides = {self.source_of(d)["source"]: d for d in self.plan.domains}
        self.standins["relay"] = self.standin("relay", "relay")
        self.standins["relay"].wait_listening()
        routes = {"sides": sides, "routes": self.routes}
        self.post_json(self.addresses["relay"], "/routes", routes)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Let nothing pass between pairs of sides; without pairs, heal all."""
        self.post_json(self.addresses["relay"], "/cuts", pairs)

    # Reaching processes.

    def get_json(self, address: str, path: str) -> Any:
        """Return the JSON that a process answers with."""
        reply = self.pool.request("GET", f"http://{address}{path}", timeout=10.0)
        return json.loads(reply.data)

    def post_json(
        self, address: str, path: str, value: Any, headers: dict[str, str] | None = None
    ) -> Any:
        """Send JSON and return the JSON answered."""
        reply = self.pool.request(
            "POST",
            f"http://{address}{path}",
            body=json.dumps(value),
            headers={"Content-Type": "application/json", **(headers or {})},
            timeout=30.0,
        )
        return json.loads(reply.data) if reply.data else None

    def fault(self, name: str, **values: Any) -> None:
        """Set faults of a stand-in."""
        self.post_json(self.addresses[name], "/faults", values)

    def admin(self, method: str, entry: int = 0, **fields: Any) -> dict[str, Any]:
        """Make an administration call and return its reply."""
        return self.post_json(
            self.entries[entry].http,
            f"/ridgecourse.wire.Admin/{method}",
            fields,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def change(self, method: str, entry: int = 0, **fields: Any) -> dict[str, Any]:
        """Make a change that must be accepted."""
        reply = self.admin(method, entry, fleet=FLEET, **fields)
        if reply.get("status") != "CHANGE_STATUS_ACCEPTED":
            raise ProcessFailed(f"{method} was not accepted: {reply}")
        return reply

    def set_up(self) -> None:
        """Create fleet, services and targets."""
        self.change("CreateFleet", origin_copies=self.plan.origin_copies)
        self.change("PutService", service=MODEL_SERVICE, kind="model")
        self.change("PutService", service=PLAIN_SERVICE, kind="plain")
        for node in self.agents:
            self.join(node)

    def join(self, node: Node) -> None:
        """Join an agent's target to its service."""
        plain = node.settings["engine"]["kind"] == "plain"
        self.change(
            "JoinTarget",
            service=PLAIN_SERVICE if plain else MODEL_SERVICE,
            target=node.settings["target"],
            domain=node.domain,
            address=self.outside(node.http),
            control_address=self.outside(node.settings["control"]),
        )

    def outside(self, address: str) -> str:
        """Return the address by which a process is joined."""
        known = {to: listen for _, listen, to in self.routes}
        return known.get(address, address)

    def account(self, name: str, **fields: Any) -> str:
        """Create an account and return its key."""
        key = f"key-of-{name}"
        self.change("PutAccount", account=name, key_digest=token_digest(key), **fields)
        return key

    def replace_agent(self, node: Node) -> Node:
        """Start a second agent for a target, at other addresses, and join it."""
        settings = {
            **node.settings,
            "process": f"{node.settings['process']}-second",
            "http": free_address(),
            "control": free_address(),
        }
        other = self._node("agent", settings["process"], node.domain, settings)
        self.agents.append(other)
        other.managed.start()
        other.managed.wait_event("started")
        self.join(other)
        return other

    def answers(self, node: Node) -> bool:
        """Tell whether a process answers."""
        return self.get_json(node.http, "/status")["process"] != ""

    def model_agents(self) -> list[Node]:
        """Return the agents before model engines."""
        return [n for n in self.agents if n.settings["engine"]["kind"] == "model"]

    def status(self, node: Node) -> dict[str, Any]:
        """Return what a process tells of itself."""
        return self.get_json(node.http, "/status")

    def wait(
        self, what: str, check: Callable[[], bool], seconds: float = WAIT_SECONDS
    ) -> None:
        """Wait until a check holds; a process that does not answer fails it."""
        deadline = monotonic() + seconds
        while not answered(check):
            if monotonic() > deadline:
                raise ProcessFailed(f"not in time: {what}")
            sleep(POLL_SECONDS)

    def wait_serving(self, root: str, seconds: float = 120.0) -> None:
        """Wait until every model agent serves a version."""
        for node in self.model_agents():
            self.wait(
                f"{node.managed.name} serves {root[:8]}",
                lambda node=node: self.status(node)["serving"] == root,  # type: ignore[misc]
                seconds,
            )

    def wait_ready(self, seconds: float = 60.0) -> None:
        """Wait until every process is ready."""
        for node in [*self.entries, *self.agents]:
            self.wait(
                f"{node.managed.name} is ready",
                lambda node=node: self.status(node)["ready"],  # type: ignore[misc]
                seconds,
            )


def answered(check: Callable[[], bool]) -> bool:
    """Return what a check says; False where a process does not answer it."""
    try:
        return check()
    except HTTPError:
        return False
