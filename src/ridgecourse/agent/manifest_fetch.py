"""How an agent gets the manifest of a version: from another agent, or the origin."""

from collections.abc import Callable

import eventlet
from returns.result import Failure

from ridgecourse.agent.context import AgentContext
from ridgecourse.core.config_objects import Target, Version
from ridgecourse.core.finding import render_findings
from ridgecourse.core.ids import RootDigest, TargetName
from ridgecourse.core.manifest import parse_manifest
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import OriginUnavailable
from ridgecourse.exchange.server import MANIFEST_PATH
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, NoConnection

RETRY_SECONDS = 1.0
MANIFEST_STAGGER_SECONDS = 0.5
"""Each further agent waits this much longer before it asks the origin itself."""
MANIFEST_MAX_WAIT_SECONDS = 5.0


class RolloutStopped(Exception):
    """The attempt ended: superseded, or a named error."""


class ManifestFetch:
    """Gets manifests.

    Attributes:
        still_wanted: Tells whether a version is still to be brought in.
        note_failure: Told what keeps a manifest from coming.
    """

    def __init__(
        self,
        context: AgentContext,
        still_wanted: Callable[[Version], bool],
        note_failure: Callable[[Version, str], None],
    ) -> None:
        self.context = context
        self.still_wanted = still_wanted
        self.note_failure = note_failure

    def fetch(self, version: Version, peers: dict[TargetName, Target]) -> Holding:
        """Get the manifest from another agent, or from the origin.

        The agents ask the origin one after another, so that as a rule one does.

        Args:
            version: Whose manifest.
            peers: The other agents of the service.

        Raises:
            RolloutStopped: The version is not wanted any more, or what came is not
                its manifest.
        """
        root = version.root_digest
        order = rendezvous_rank(f"{root}/manifest", [*peers, self.context.target])
        rank = order.index(self.context.target)
        patience = min(rank * MANIFEST_STAGGER_SECONDS, MANIFEST_MAX_WAIT_SECONDS)
        ask_origin = boottime() + patience
        asked = 0
        while self.still_wanted(version):
            data = None
            if boottime() >= ask_origin:
                data = self._manifest_from_origin(version)
                ask_origin = boottime() + RETRY_SECONDS
            elif peers:
                # The first ones are likely to have it; the others spread it.
                near = order[: max(4, rank)]
                name = TargetName(near[asked % len(near)])
                asked += 1
                if name != self.context.target:
                    data = self._manifest_from_peer(peers[name], root)
            if data is not None:
                return self._check_manifest(root, data)
            eventlet.sleep(0.05)
        raise RolloutStopped("superseded")

    def _manifest_from_origin(self, version: Version) -> bytes | None:
        """Ask the origin; without an answer the others are asked meanwhile."""
        before = self.context.origin.drawn
        try:
            data = self.context.origin.manifest(version.origin_path)
        except OriginUnavailable as error:
            self.note_failure(version, f"origin-unavailable: {error}")
            return None
        self.context.counts.from_origin += self.context.origin.drawn - before
        return data

    def _manifest_from_peer(self, peer: Target, root: RootDigest) -> bytes | None:
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

    def _check_manifest(self, root: RootDigest, data: bytes) -> Holding:
        parsed = parse_manifest(data, root)
        if isinstance(parsed, Failure):
            raise RolloutStopped(f"bad-manifest: {render_findings(parsed.failure())}")
        return Holding(root, parsed.unwrap(), data)
