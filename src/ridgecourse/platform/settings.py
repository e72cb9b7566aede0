"""Reads the platform's settings file, a JSON object, into a ``Site``.

Every missing or invalid field is reported with its place, so that an operator can fix
all problems at once.
"""

import logging
from collections.abc import Iterator
from typing import Any

from msgspec import DecodeError, Struct, ValidationError, convert, field
from msgspec.json import decode
from returns.result import Failure, Result, Success

from ridgecourse.core.ids import DomainName, ProcessName, RegionName, ServiceName
from ridgecourse.core.memory_budget import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MEGABYTE,
    Resources,
)
from ridgecourse.core.problem import Problem, Problems
from ridgecourse.core.relisted_targets import DEFAULT_HEARTBEAT_SECONDS
from ridgecourse.core.site import (
    DEFAULT_COLD_OVERAGE,
    DEFAULT_COLD_SLACK,
    Bounds,
    LocalTarget,
    Site,
)
from ridgecourse.net.site_process import SettingsSource
from ridgecourse.platform.field_types import (
    NonNegativeFloat,
    PositiveFloat,
    PositiveInt,
)

logger = logging.getLogger(__name__)

MILLISECOND = 0.001
BYTES_PER_MBIT = 125_000


class ListenFields(Struct):
    """Addresses that the process listens on for the platform.

    Attributes:
        frontend: HOST:PORT for clients' requests; None if the process serves none.
        readiness: HOST:PORT for the load balancer's readiness checks; None for none.
    """

    frontend: str | None = None
    readiness: str | None = None


class StoreFields(Struct):
    """The platform's store.

    Attributes:
        address: HOST:PORT of the store.
    """

    address: str


class ResourceLimitFields(Struct):
    """Resources of the instance.

    Attributes:
        bandwidth_mbps: Capacity of the instance's link in megabits per second.
        memory_mb: Memory of a process in megabytes.
        max_fds: Most open descriptors of a process.
    """

    bandwidth_mbps: float
    memory_mb: PositiveFloat = DEFAULT_MEMORY_BYTES / MEGABYTE
    max_fds: PositiveInt = DEFAULT_DESCRIPTORS


class BoundFields(Struct):
    """Limits that the operators set; the suffix of a name gives the unit.

    Attributes:
        grace_s: Time from SIGTERM to SIGKILL.
        drain_ms: How long a leaving target may still get requests.
        config_apply_ms: Time within which a configuration must be in force.
        version_ms: Time after which no request may start on older weights.
        reuse_after_s: Time after which the address of an ended target may belong to
            another target.
        retry_budget_ratio: Retries allowed per request of a service, over all gateways.
        retry_window_s: Time window of the retry ratio.
        retry_slack: Retries allowed in a window in addition to the ratio.
        evacuate_ms: Time after which no request is sent to an evacuated domain.
        cold_overage: Factor in the bound of requests to a cold engine in any second.
        cold_slack: Requests that are added to this bound.
    """

    grace_s: float
    drain_ms: float
    config_apply_ms: float
    version_ms: float
    reuse_after_s: float
    retry_budget_ratio: float
    retry_window_s: float
    retry_slack: float
    evacuate_ms: float | None = None
    cold_overage: NonNegativeFloat = DEFAULT_COLD_OVERAGE
    cold_slack: NonNegativeFloat = DEFAULT_COLD_SLACK


class SiteFields(Struct):
    """The fields of the settings file that are used; other fields are ignored.

    Attributes:
        node_name: Name of the process.
        ip: IP address of the instance.
        zone: Failure domain of the instance.
        zones: Region of each failure domain.
        listen: Addresses to listen on.
        internal_port_range: First and last port for connections between processes of
            the project.
        seed_nodes: Addresses of some other instances, which may be down.
        limits: Resources of the instance.
        bounds: Limits that the operators set.
        platform: The platform's store.
        app: Address of the engine on this instance; None without an engine.
        bootstrap: Whether the whole deployment starts for the first time.
        service: Service of the engine on this instance.
        heartbeat_ms: Usual interval between two heartbeats of a target.
    """

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: ListenFields
    internal_port_range: tuple[int, int]
    seed_nodes: list[str]
    limits: ResourceLimitFields
    bounds: BoundFields
    platform: StoreFields
    app: str | None = field(default=None)
    bootstrap: bool = False
    service: str | None = field(default=None)
    heartbeat_ms: PositiveFloat = DEFAULT_HEARTBEAT_SECONDS / MILLISECOND


class SettingsFile(SettingsSource):
    """The settings file.

    Attributes:
        path: Path of the file.
        content: Content of the file at the last read; None before the first read.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.content: bytes | None = None

    def has_changed(self) -> bool:
        """Check whether the file's content differs from the last read."""
        try:
            return read_file(self.path) != self.content
        except OSError as error:
            # The file is being replaced; the next poll reads the new one.
            logger.debug("settings file %s cannot be read: %s", self.path, error)
            return False

    def read(self) -> Result[Site, Problems]:
        """Read and check the file.

        Returns:
            The settings, or all problems of the file.
        """
        try:
            self.content = read_file(self.path)
        except OSError as error:
            return Failure((Problem(self.path, f"cannot be read: {error}"),))
        return parse_site(self.content, self.path)


def read_file(path: str) -> bytes:
    """Return the content of a file.

    Raises:
        OSError: The file cannot be read.
    """
    with open(path, "rb") as file:
        return file.read()


def parse_site(content: bytes, path: str) -> Result[Site, Problems]:
    """Return the settings in a file's content, or all problems of the content."""
    try:
        raw = decode(content)
    except DecodeError as error:
        return Failure((Problem(path, f"cannot be read: {error}"),))
    if not isinstance(raw, dict):
        return Failure((Problem(path, "expected an object"),))
    problems = tuple(find_problems(raw, SiteFields, path))
    if problems:
        return Failure(problems)
    return Success(make_site(convert(raw, SiteFields)))


def find_problems(raw: Any, struct_type: type[Struct], place: str) -> Iterator[Problem]:
    """Yield a problem for each field that is missing or has a wrong type.

    Args:
        raw: Decoded JSON.
        struct_type: Type that ``raw`` must fit; its nested types are checked as well.
        place: Path of ``raw`` in the file, to which the field names are added.
    """
    if not isinstance(raw, dict):
        yield Problem(place, f"expected an object, found {raw!r}")
        return
    for name, expected_type in struct_type.__annotations__.items():
        field_place = f"{place}: {name}"
        has_default = (
            name
            in struct_type.__struct_fields__[-len(struct_type.__struct_defaults__) :]
        )
        if name not in raw:
            if not (struct_type.__struct_defaults__ and has_default):
                yield Problem(field_place, "is missing")
        elif isinstance(expected_type, type) and issubclass(expected_type, Struct):
            yield from find_problems(raw[name], expected_type, field_place)
        else:
            yield from _find_type_problem(raw[name], expected_type, field_place)


def _find_type_problem(value: Any, expected_type: Any, place: str) -> Iterator[Problem]:
    try:
        convert(value, expected_type)
    except ValidationError as error:
        yield Problem(place, f"{error}, found {value!r}")


def make_site(fields: SiteFields) -> Site:
    """Return the ``Site`` of decoded settings.

    The local target requires both ``app`` and ``service``.
    """
    target = None
    if fields.app and fields.service:
        target = LocalTarget(fields.app, ServiceName(fields.service))
    return Site(
        process=ProcessName(fields.node_name),
        host=fields.ip,
        domain=DomainName(fields.zone),
        regions={
            DomainName(zone): RegionName(region)
            for zone, region in fields.zones.items()
        },
        callers=fields.listen.frontend,
        readiness=fields.listen.readiness,
        peer_ports=fields.internal_port_range,
        seeds=tuple(fields.seed_nodes),
        store=fields.platform.address,
        target=target,
        bounds=make_bounds(fields.bounds),
        upload_bytes_per_s=fields.limits.bandwidth_mbps * BYTES_PER_MBIT,
        resources=Resources(
            memory_bytes=fields.limits.memory_mb * MEGABYTE,
            descriptors=fields.limits.max_fds,
        ),
        first_start=fields.bootstrap,
        heartbeat_seconds=fields.heartbeat_ms * MILLISECOND,
    )


def make_bounds(fields: BoundFields) -> Bounds:
    """Return the operators' limits with times in seconds."""
    evacuate_seconds = (
        None if fields.evacuate_ms is None else fields.evacuate_ms * MILLISECOND
    )
    return Bounds(
        stop_seconds=fields.grace_s,
        leaving_seconds=fields.drain_ms * MILLISECOND,
        config_seconds=fields.config_apply_ms * MILLISECOND,
        version_seconds=fields.version_ms * MILLISECOND,
        reuse_seconds=fields.reuse_after_s,
        retry_ratio=fields.retry_budget_ratio,
        retry_seconds=fields.retry_window_s,
        retry_slack=fields.retry_slack,
        evacuate_seconds=evacuate_seconds,
        cold_overage=fields.cold_overage,
        cold_slack=fields.cold_slack,
    )
