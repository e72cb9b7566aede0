"""The platform's settings file, decoded into a ``Site``."""

import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from msgspec import DecodeError, Struct, ValidationError, convert, field
from msgspec.json import decode
from returns.result import Failure, Result, Success

from ridgecourse.core.finding import Finding, Findings
from ridgecourse.core.ids import DomainName, ProcessName, RegionName, ServiceName
from ridgecourse.core.site import Bounds, LocalTarget, Site
from ridgecourse.net.site_process import SettingsSource

logger = logging.getLogger(__name__)

MILLISECOND = 0.001
BYTES_PER_MBIT = 125_000


class ListenFields(Struct):
    """Addresses that the platform's callers use."""

    frontend: str | None = None
    readiness: str | None = None


class StoreFields(Struct):
    """The platform's store."""

    address: str


class LimitFields(Struct):
    """Resources of the instance."""

    bandwidth_mbps: float


class BoundFields(Struct):
    """Limits of the operators, times as their names say."""

    grace_s: float
    drain_ms: float
    config_apply_ms: float
    version_ms: float
    reuse_after_s: float
    retry_budget_ratio: float
    retry_window_s: float
    retry_slack: float


class SiteFields(Struct):
    """The fields of the file that the system uses.

    Attributes:
        app: Address of the engine on this machine.
        service: Service of that engine.
        internal_port_range: First and last port for the system's own use.
    """

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: ListenFields
    internal_port_range: tuple[int, int]
    seed_nodes: list[str]
    limits: LimitFields
    bounds: BoundFields
    platform: StoreFields
    app: str | None = field(default=None)
    bootstrap: bool = False
    service: str | None = field(default=None)


class SettingsFile(SettingsSource):
    """The settings file.

    Attributes:
        path: Where it lies.
        content: Its bytes when it was read last.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.content: bytes | None = None

    def changed(self) -> bool:
        """Tell whether the file differs from what was read last."""
        try:
            return self.path.read_bytes() != self.content
        except OSError as error:
            # It is being replaced; the next look finds the new one.
            logger.debug("%s: %s", self.path, error)
            return False

    def read(self) -> Result[Site, Findings]:
        """Read and check the file.

        Returns:
            The settings, or everything that is wrong with the file.
        """
        try:
            self.content = self.path.read_bytes()
        except OSError as error:
            return Failure((Finding(str(self.path), f"cannot be read: {error}"),))
        return parse_site(self.content, self.path)


def parse_site(content: bytes, path: Path) -> Result[Site, Findings]:
    """Return the settings in a file's content, or everything wrong with them."""
    try:
        raw = decode(content)
    except DecodeError as error:
        return Failure((Finding(str(path), f"cannot be read: {error}"),))
    if not isinstance(raw, dict):
        return Failure((Finding(str(path), "expected an object"),))
    findings = tuple(find_faults(raw, SiteFields, str(path)))
    if findings:
        return Failure(findings)
    return Success(make_site(convert(raw, SiteFields)))


def find_faults(raw: Any, kind: type[Struct], place: str) -> Iterator[Finding]:
    """Yield what is missing or of a wrong type, with its place."""
    if not isinstance(raw, dict):
        yield Finding(place, f"expected an object, found {raw!r}")
        return
    for name, wanted in kind.__annotations__.items():
        here = f"{place}: {name}"
        optional = name in kind.__struct_fields__[-len(kind.__struct_defaults__) :]
        if name not in raw:
            if not (kind.__struct_defaults__ and optional):
                yield Finding(here, "is missing")
        elif isinstance(wanted, type) and issubclass(wanted, Struct):
            yield from find_faults(raw[name], wanted, here)
        else:
            yield from _find_type_fault(raw[name], wanted, here)


def _find_type_fault(value: Any, wanted: Any, place: str) -> Iterator[Finding]:
    try:
        convert(value, wanted)
    except ValidationError as error:
        yield Finding(place, f"{error}, found {value!r}")


def make_site(fields: SiteFields) -> Site:
    """Return the settings in the system's own terms."""
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
        first_start=fields.bootstrap,
    )


def make_bounds(fields: BoundFields) -> Bounds:
    """Return the operators' limits in seconds."""
    return Bounds(
        stop_seconds=fields.grace_s,
        leaving_seconds=fields.drain_ms * MILLISECOND,
        config_seconds=fields.config_apply_ms * MILLISECOND,
        version_seconds=fields.version_ms * MILLISECOND,
        reuse_seconds=fields.reuse_after_s,
        retry_ratio=fields.retry_budget_ratio,
        retry_seconds=fields.retry_window_s,
        retry_slack=fields.retry_slack,
    )
