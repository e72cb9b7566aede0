"""Asks targets for their health if the list does not show whether they run.

These are the targets that were listed again and are held, and those that were removed
but are kept, since the removal may be due to an outage of the store.
"""

from collections.abc import Callable, Iterator
from contextlib import closing
from itertools import islice
from random import Random

import eventlet

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import RETURN_SECONDS, ListedTarget
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.exchange import Exchange, ExchangeBroken, NotSent
from ridgecourse.net.threads import spawn_loop

ASK_AGAIN_SECONDS = 0.3
"""Interval between two health checks of a target that is held."""
ASK_SPACING_SECONDS = 0.002
"""Mean interval between two health checks of a target by all gateways together. Each
gateway asks by itself, and all learn at about the same time that it was listed."""
MAX_SPREAD_SECONDS = 1.2
"""Longest time over which the first health checks of all gateways are spread."""
MAX_REMOVED_ASKED = 32
"""Most removed targets that are asked at a time. An outage may remove all targets."""
TIMEOUT_SECONDS = 0.35
"""Longest wait for an answer to a health check."""


class RelistedWatch:
    """Asks the targets that are held, or kept after their removal, for their health.

    Attributes:
        site: Settings of the process.
        view: Has the list of targets.
        protocol: Decodes the answers.
        count_gateways: Returns the number of known gateways.
        random: Spreads the health checks of all gateways.
        asked: The targets that are being asked.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        protocol: RequestProtocol,
        count_gateways: Callable[[], int],
        random: Random,
    ) -> None:
        self.site = site
        self.view = view
        self.protocol = protocol
        self.count_gateways = count_gateways
        self.random = random
        self.asked: set[TargetId] = set()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to ask the targets."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop asking."""
        if self.thread is not None:
            self.thread.kill()

    def _run(self) -> None:
        while True:
            targets = self.view.targets
            for name in [*self._select_unasked()]:
                if name in targets.targets:
                    self.asked.add(name)
                    eventlet.spawn_n(self._ask_and_pause, targets.targets[name])
            is_in_doubt = targets.relisted.held or targets.removed
            self.view.changed.wait(ASK_AGAIN_SECONDS if is_in_doubt else None)

    def _select_unasked(self) -> Iterator[TargetId]:
        """Yield the targets to ask now."""
        targets = self.view.targets
        yield from targets.relisted.held.keys() - self.asked
        free = MAX_REMOVED_ASKED - len(targets.removed.keys() & self.asked)
        unasked = (name for name in targets.removed if name not in self.asked)
        yield from islice(unasked, max(0, free))

    def _ask_and_pause(self, target: ListedTarget) -> None:
        try:
            eventlet.sleep(self._start_delay())
            answer = self._ask(target)
            self.view.record_health(target.target, answer)
            is_kept = target.target in self.view.targets.removed
            if is_kept and answer is HealthAnswer.HEALTHY:
                # The target runs; it is not asked again before its removal counts.
                eventlet.sleep(RETURN_SECONDS)
            eventlet.sleep(ASK_AGAIN_SECONDS)
        finally:
            self.asked.discard(target.target)

    def _start_delay(self) -> float:
        """Return a random delay that grows with the number of gateways."""
        spread = min(self.count_gateways() * ASK_SPACING_SECONDS, MAX_SPREAD_SECONDS)
        return self.random.uniform(0.0, spread)

    def _ask(self, target: ListedTarget) -> HealthAnswer:
        """Return what a target answers when it is asked for its health."""
        service = self.view.config and self.view.config.services.get(target.service)
        if not service or not service.health_path:
            return HealthAnswer.UNKNOWN
        deadline = Seconds(boottime() + TIMEOUT_SECONDS)
        with closing(Exchange(target.address, deadline)) as exchange:
            try:
                exchange.connect(TIMEOUT_SECONDS)
                host = parse_address(target.address).host
                exchange.send("GET", service.health_path, [("Host", host)], None)
                response = exchange.receive_head()
            except NotSent:
                return HealthAnswer.UNREACHABLE
            except ExchangeBroken:
                return HealthAnswer.UNKNOWN
            return self.protocol.decode_health(response, target.target)
