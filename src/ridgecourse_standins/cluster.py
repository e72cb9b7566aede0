"""Starts a complete deployment on loopback: stand-ins, entries and agents.

Each stand-in, entry and agent runs as a process. Tests, the demo and benchmarks start
deployments, set faults in the stand-ins and partition the failure domains.
"""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from tempfile import mkdtemp
from time import monotonic, sleep
from typing import Any, NamedTuple

from urllib3.exceptions import HTTPError

from ridgecourse.net.answer_connection import AnswerPoolManager
from ridgecourse.net.auth import token_digest
from ridgecourse_standins.managed_process import ManagedProcess, ProcessFailed
from ridgecourse_standins.ports import free_address

SHARED_KEY = "shared-key-of-the-stand-in-deployment"
OPERATOR_TOKEN = "operator-token"
FLEET = "demo"
MODEL_SERVICE = "text"
PLAIN_SERVICE = "orders"
POLL_SECONDS = 0.05
WAIT_SECONDS = 40.0


class Plan(NamedTuple):
    """The processes and settings of a deployment.

    Attributes:
        domains: Names of the failure domains.
        entries: Number of entries in each domain.
        targets: Number of model targets in each domain.
        plain: Number of plain targets in the first domain.
        origin_rate: Bandwidth of the origin's link in bytes per second; None for no
            limit.
        agent: Additional settings of every agent.
        entry: Additional settings of every entry.
        slots: Maximum number of requests that an engine runs at once.
        step_seconds: Duration of a step of an engine.
        fenced: Whether engines refuse old fencing tokens.
        relayed: Whether connections between domains go through relays, so that tests
            can cut them.
        entry_module: Python module that entries run; benchmarks run baselines instead.
        agent_module: Python module that agents run; benchmarks run baselines instead.
        engines_per_process: Number of engines that share a process, to save memory.
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
    """An entry or agent: its process, failure domain and settings."""

    managed: ManagedProcess
    domain: str
    settings: dict[str, Any]

    @property
    def http(self) -> str:
        """Return the address of the HTTP server of this process."""
        return self.settings["http"]


class Cluster:
    """Starts, controls and ends a deployment.

    Attributes:
        plan: Processes to start and settings of the processes.
        directory: Directory of the settings, events and logs.
        models: Directory with one subdirectory for each version.
        pool: HTTP connections to the processes.
        standins: Processes of the stand-ins without the engines, by name.
        addresses: Addresses of all stand-ins, by name.
        entries: The entries.
        agents: The agents.
        engines: Processes of the engines, by target.
        routes: Relayed addresses as side, listening address and forwarding address.
    """

    def __init__(self, plan: Plan, directory: Path | None = None) -> None:
        self.plan = plan
        self.directory = directory or Path(mkdtemp(prefix="ridgecourse-"))
        self.models = self.directory / "models"
        self.models.mkdir(parents=True, exist_ok=True)
        self.pool = AnswerPoolManager(maxsize=64, retries=False)
        self.standins: dict[str, ManagedProcess] = {}
        self.addresses: dict[str, str] = {}
        self.entries: list[Node] = []
        self.agents: list[Node] = []
        self.engines: dict[str, ManagedProcess] = {}
        self.routes: list[tuple[str, str, str]] = []

    def start(self) -> None:
        """Start all processes and wait until every process listens."""
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

    def processes(self) -> Iterator[ManagedProcess]:
        """Yield every process of the deployment."""
        for node in [*self.entries, *self.agents]:
            yield node.managed
        yield from self.engines.values()
        yield from self.standins.values()

    def start_standin(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        """Start a stand-in on a free port."""
        return self.start_shared_standin([name], module, *arguments)

    def start_shared_standin(
        self, names: list[str], module: str, *arguments: str
    ) -> ManagedProcess:
        """Start several stand-ins of one kind in one process."""
        addresses = {name: free_address() for name in names}
        listen = ",".join(addresses.values())
        command = ["-m", f"ridgecourse_standins.{module}", "--listen", listen]
        managed = ManagedProcess(names[0], [*command, *arguments], self.directory)
        managed.start()
        self.addresses.update(addresses)
        return managed

    def _start_standins(self) -> None:
        rate = self.plan.origin_rate
        limit = [] if rate is None else ["--rate", str(rate)]
        self.standins["log"] = self.start_standin("log", "log")
        self.standins["origin"] = self.start_standin(
            "origin", "origin", str(self.models), *limit
        )
        self.standins["instances"] = self.start_standin("instances", "instances")
        for managed in self.standins.values():
            managed.wait_listening()

    def _make_node(
        self, role: str, name: str, domain: str, settings: dict[str, Any]
    ) -> Node:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        modules = {"entry": self.plan.entry_module, "agent": self.plan.agent_module}
        command = ["-m", modules[role], str(path)]
        return Node(ManagedProcess(name, command, self.directory), domain, settings)

    def _make_entries(self) -> None:
        names = [
            (f"entry-{domain}-{number}", domain)
            for domain in self.plan.domains
            for number in range(self.plan.entries)
        ]
        addresses = {name: free_address() for name, _ in names}
        reachable = {
            name: self.add_relay(domain, addresses[name]) for name, domain in names
        }
        for name, domain in names:
            peers = [address for other, address in reachable.items() if other != name]
            settings = {
                "process": name,
                "domain": domain,
                "http": addresses[name],
                "log": self.add_relay("platform", self.addresses["log"]),
                **self.source_settings(domain),
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
            self.entries.append(self._make_node("entry", name, domain, settings))

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
        group_size = self.plan.engines_per_process
        for start in range(0, len(names), group_size):
            group = names[start : start + group_size]
            managed = self.start_shared_standin(
                group, "engine", *self._engine_arguments()
            )
            for name in group:
                self.engines[name.removeprefix("engine-")] = managed

    def _engine_arguments(self) -> list[str]:
        plan = self.plan
        options = ["--slots", str(plan.slots), "--step-seconds", str(plan.step_seconds)]
        return options if plan.fenced else [*options, "--ignore-tokens"]

    def add_agent(self, target: str, domain: str, kind: str) -> Node:
        """Prepare an agent without starting the agent.

        The plain target is started too, and so is the engine of a model target unless
        it is already running.

        Args:
            target: Name of the target.
            domain: Failure domain of the agent.
            kind: "model" or "plain".

        Returns:
            The agent, not started.
        """
        name = f"engine-{target}"
        if kind == "plain":
            self.engines[target] = self.start_standin(name, "plain")
        elif target not in self.engines:
            arguments = self._engine_arguments()
            self.engines[target] = self.start_standin(name, "engine", *arguments)
        settings = {
            "process": f"agent-{target}",
            "domain": domain,
            "fleet": FLEET,
            "target": target,
            "http": free_address(),
            "control": free_address(),
            "log": self.add_relay("platform", self.addresses["log"]),
            "origin": self.add_relay("platform", self.addresses["origin"]),
            **self.source_settings(domain),
            "engine": {
                "address": self.addresses[name],
                "kind": kind,
                "slots": self.plan.slots,
                "fenced": self.plan.fenced,
            },
            "shared_key": SHARED_KEY,
            **self.plan.agent,
        }
        self.add_relay(domain, settings["http"])
        self.add_relay(domain, settings["control"])
        node = self._make_node("agent", f"agent-{target}", domain, settings)
        self.agents.append(node)
        return node

    # Partitions between domains.

    def source_settings(self, domain: str) -> dict[str, str]:
        """Return the setting by which relays identify the processes of a domain.

        Relays identify the domain of a connection by its source address.
        """
        if not self.plan.relayed:
            return {}
        return {"source": f"127.0.{1 + self.plan.domains.index(domain)}.1"}

    def add_relay(self, side: str, address: str) -> str:
        """Return the address at which other processes reach a process.

        In a relayed deployment, a relay is added that listens at the returned address.

        Args:
            side: Domain of the process, or "platform".
            address: Address at which the process listens.
        """
        if not self.plan.relayed:
            return address
        listen = free_address()
        self.routes.append((side, listen, address))
        return listen

    def _start_relays(self) -> None:
        sides = {
            self.source_settings(domain)["source"]: domain
            for domain in self.plan.domains
        }
        self.standins["relay"] = self.start_standin("relay", "relay")
        self.standins["relay"].wait_listening()
        routes = {"sides": sides, "routes": self.routes}
        self.post_json(self.addresses["relay"], "/routes", routes)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cut the connections between pairs of sides; without pairs, heal all cuts."""
        self.post_json(self.addresses["relay"], "/cuts", pairs)

    # Calls to processes.

    def get_json(self, address: str, path: str) -> Any:
        """Send a GET request to a process and return the JSON reply."""
        reply = self.pool.request("GET", f"http://{address}{path}", timeout=10.0)
        return json.loads(reply.data)

    def post_json(
        self, address: str, path: str, value: Any, headers: dict[str, str] | None = None
    ) -> Any:
        """Send JSON to a process and return the JSON reply, None if it is empty."""
        reply = self.pool.request(
            "POST",
            f"http://{address}{path}",
            body=json.dumps(value),
            headers={"Content-Type": "application/json", **(headers or {})},
            timeout=30.0,
        )
        return json.loads(reply.data) if reply.data else None

    def set_faults(self, name: str, **values: Any) -> None:
        """Set faults of the named stand-in."""
        self.post_json(self.addresses[name], "/faults", values)

    def call_admin(self, method: str, entry: int = 0, **fields: Any) -> dict[str, Any]:
        """Call an administration method at an entry and return the reply."""
        return self.post_json(
            self.entries[entry].http,
            f"/ridgecourse.wire.Admin/{method}",
            fields,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def make_change(self, method: str, entry: int = 0, **fields: Any) -> dict[str, Any]:
        """Make a change and return the reply.

        Raises:
            ProcessFailed: The change was not accepted.
        """
        reply = self.call_admin(method, entry, fleet=FLEET, **fields)
        if reply.get("status") != "CHANGE_STATUS_ACCEPTED":
            raise ProcessFailed(f"{method} was not accepted: {reply}")
        return reply

    def set_up(self) -> None:
        """Create the fleet and the services and join all targets."""
        self.make_change("CreateFleet", origin_copies=self.plan.origin_copies)
        self.make_change("PutService", service=MODEL_SERVICE, kind="model")
        self.make_change("PutService", service=PLAIN_SERVICE, kind="plain")
        for node in self.agents:
            self.join_target(node)

    def join_target(self, node: Node) -> None:
        """Join the target of an agent to the service of its kind."""
        plain = node.settings["engine"]["kind"] == "plain"
        self.make_change(
            "JoinTarget",
            service=PLAIN_SERVICE if plain else MODEL_SERVICE,
            target=node.settings["target"],
            domain=node.domain,
            address=self.relayed_address(node.http),
            control_address=self.relayed_address(node.settings["control"]),
        )

    def relayed_address(self, address: str) -> str:
        """Return the address of the relay before a process, else its own address."""
        relayed = {forward: listen for _, listen, forward in self.routes}
        return relayed.get(address, address)

    def create_account(self, name: str, **fields: Any) -> str:
        """Create an account and return its API key."""
        key = f"key-of-{name}"
        self.make_change(
            "PutAccount", account=name, key_digest=token_digest(key), **fields
        )
        return key

    def replace_agent(self, node: Node) -> Node:
        """Start and join a second agent for a target, at other addresses."""
        settings = {
            **node.settings,
            "process": f"{node.settings['process']}-second",
            "http": free_address(),
            "control": free_address(),
        }
        second = self._make_node("agent", settings["process"], node.domain, settings)
        self.agents.append(second)
        second.managed.start()
        second.managed.wait_event("started")
        self.join_target(second)
        return second

    def is_answering(self, node: Node) -> bool:
        """Check whether a process answers a status request."""
        return self.get_json(node.http, "/status")["process"] != ""

    def model_agents(self) -> list[Node]:
        """Return the agents of model targets."""
        return [
            node for node in self.agents if node.settings["engine"]["kind"] == "model"
        ]

    def status(self, node: Node) -> dict[str, Any]:
        """Return the status that a process reports."""
        return self.get_json(node.http, "/status")

    def wait_until(
        self, what: str, check: Callable[[], bool], seconds: float = WAIT_SECONDS
    ) -> None:
        """Wait until a condition holds.

        The condition counts as not met while a process does not answer.

        Args:
            what: Description of the condition for the error message.
            check: The condition.
            seconds: Maximum wait.

        Raises:
            ProcessFailed: The condition did not hold in time.
        """
        deadline = monotonic() + seconds
        while not is_satisfied(check):
            if monotonic() > deadline:
                raise ProcessFailed(f"condition not met in time: {what}")
            sleep(POLL_SECONDS)

    def wait_serving(self, root: str, seconds: float = 120.0) -> None:
        """Wait until every model agent serves the version with a root digest."""
        for node in self.model_agents():
            self.wait_until(
                f"{node.managed.name} serves {root[:8]}",
                lambda node=node: self.status(node)["serving"] == root,  # type: ignore[misc]
                seconds,
            )

    def wait_ready(self, seconds: float = 60.0) -> None:
        """Wait until every process is ready."""
        for node in [*self.entries, *self.agents]:
            self.wait_until(
                f"{node.managed.name} is ready",
                lambda node=node: self.status(node)["ready"],  # type: ignore[misc]
                seconds,
            )


def is_satisfied(check: Callable[[], bool]) -> bool:
    """Return whether a check passes; False if a process does not answer."""
    try:
        return check()
    except HTTPError:
        return False
