"""Fetches the manifest of a version from another agent or from the origin.

The agents of a service wait in ranked order before they ask the origin, and ask
each other meanwhile, so that usually only one agent asks the origin.
"""

from collections.abc import Callable

import eventlet
from returns.result import Failure

from ridgecourse.agent.context import AgentContext
from ridgecourse.core.config_objects import Target, Version
from ridgecourse.core.ids import RootDigest, TargetName
from ridgecourse.core.manifest import parse_manifest
from ridgecourse.core.problem import render_problems
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import OriginUnavailable
from ridgecourse.exchange.server import MANIFEST_PATH
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, NoConnection

RETRY_SECONDS = 1.0
MANIFEST_STAGGER_SECONDS = 0.5
"""Extra delay, in seconds, of each further agent before it asks the origin."""
MANIFEST_MAX_WAIT_SECONDS = 5.0


class RolloutStopped(Exception):
    """The rollout attempt ended: the version was superseded, or an error occurred."""


class ManifestFetcher:
    """Fetches manifests.

    Attributes:
        is_wanted: Returns whether a version is still to be deployed.
        report_failure: Receives the error that keeps a manifest from arriving.
    """

    def __init__(
        self,
        context: AgentContext,
        is_wanted: Callable[[Version], bool],
        report_failure: Callable[[Version, str], None],
    ) -> None:
        self.context = context
        self.is_wanted = is_wanted
        self.report_failure = report_failure

    def fetch(self, version: Version, peers: dict[TargetName, Target]) -> Holding:
        """Fetch the manifest from another agent or from the origin.

        The agents ask the origin one after another, so that usually only one
        agent asks.

        Args:
            version: The version whose manifest is fetched.
            peers: The other agents of the service.

        Raises:
            RolloutStopped: The version is superseded, or the data received is not
                its manifest.
        """
        root = version.root_digest
        ranked = rendezvous_rank(f"{root}/manifest", [*peers, self.context.target])
        rank = ranked.index(self.context.target)
        origin_delay = min(rank * MANIFEST_STAGGER_SECONDS, MANIFEST_MAX_WAIT_SECONDS)
        ask_origin_at = boottime() + origin_delay
        peer_requests = 0
        while self.is_wanted(version):
            data = None
            if boottime() >= ask_origin_at:
                data = self._fetch_from_origin(version)
                ask_origin_at = boottime() + RETRY_SECONDS
            elif peers:
                # The first agents by rank are likely to have the manifest; later agents
                # fetch it from agents of a lower rank.
                likely_holders = ranked[: max(4, rank)]
                name = TargetName(likely_holders[peer_requests % len(likely_holders)])
                peer_requests += 1
                if name != self.context.target:
                    data = self._fetch_from_peer(peers[name], root)
            if data is not None:
                return self._parse_manifest(root, data)
            eventlet.sleep(0.05)
        raise RolloutStopped("superseded")

    def _fetch_from_origin(self, version: Version) -> bytes | None:
        """Fetch the manifest from the origin; None if the origin is unavailable.

        Until the next try at the origin the peers are asked.
        """
        previous_bytes = self.context.origin.received_bytes
        try:
            data = self.context.origin.manifest(version.origin_path)
        except OriginUnavailable as error:
            self.report_failure(version, f"origin-unavailable: {error}")
            return None
        self.context.counts.from_origin += (
            self.context.origin.received_bytes - previous_bytes
        )
        return data

    def _fetch_from_peer(self, peer: Target, root: RootDigest) -> bytes | None:
        path = f"{MANIFEST_PATH}{root}"
        headers = {
            AUTH_HEADER: sign_request(self.context.settings.shared_key, "GET", path)
        }
        try:
            status, data, _ = self.context.http.fetch(
                "GET", peer.address, path, headers=headers, timeout=2.0
            )
        except (NoConnection, ExchangeFailed):
            return None
        return data if status == 200 else None

    def _parse_manifest(self, root: RootDigest, data: bytes) -> Holding:
        parsed = parse_manifest(data, root)
        if isinstance(parsed, Failure):
            raise RolloutStopped(f"bad-manifest: {render_problems(parsed.failure())}")
        return Holding(root, parsed.unwrap(), data)
