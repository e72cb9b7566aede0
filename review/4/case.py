"""Case 4: gateways go on sending requests to a target that is gone.

Two gateways are restarted in turn, several times. At the moment at which each is back,
the entry of a target is removed. See ``claim.txt``.
"""

from collections.abc import Callable
from pathlib import Path
from threading import Event, Thread
from time import sleep

from small_site import BOUNDS, RESTART_SECONDS, Engine, Machine, Site, run_case

from ridgecourse.platform.names import TARGETS_TOPIC

CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
ROUNDS = 8
SERVES_ON_SECONDS = DRAIN_SECONDS + 4.0
"""Time for which a target serves after its entry is removed."""
PAUSE_SECONDS = 4.6
STEADY_SECONDS = 8.0


def restart(site: Site, gateway: Machine, while_away: Callable[[], None]) -> float:
    """Restart a gateway as the platform does in a rolling restart.

    Args:
        site: The deployment.
        gateway: The gateway.
        while_away: Called when the gateway first reads the list of targets again.

    Returns:
        When it was started again, in seconds since the start of the record.
    """
    has_read = Event()

    def note_read(host: str, topic: str) -> None:
        if host == gateway.host and topic == TARGETS_TOPIC and not has_read.is_set():
            has_read.set()
            while_away()

    site.record.add(f"SIGTERM to {gateway.name}")
    site.store.on_newest = note_read
    gateway.restart_by_term()
    started_at = site.record.add(
        f"{gateway.name} is started again after {RESTART_SECONDS} s"
    )
    site.wait_until(has_read.is_set, 20.0)
    return started_at


def remove(site: Site, engine: Engine) -> float:
    """Remove the entry of a target, which serves on for some seconds; return when."""
    engine.is_leaving = True
    site.store.put_target(engine.target, None)
    left_at = site.record.add(f"the entry of {engine.target} is removed")

    def end() -> None:
        sleep(SERVES_ON_SECONDS)
        engine.end()

    Thread(target=end, daemon=True).start()
    return left_at


def play(site: Site) -> list[str]:
    """Play the case; return what broke the rule."""
    gateways = [site.add_gateway(1), site.add_gateway(2)]
    loader = site.add_loader(11)
    leaving = [site.add_plain_engine(21 + number) for number in range(ROUNDS)]
    site.add_plain_engine(41)
    site.add_plain_engine(42)
    site.store.put_config(site.config(1))
    for machine in (loader, *gateways):
        machine.start(is_first=True)
    site.wait_until(lambda: all(g.is_ready() for g in gateways), 20.0)
    site.send_steadily(lambda: gateways, "/look/a", 0.1)
    site.send_steadily(lambda: gateways, "/order/a", 0.05)
    sleep(STEADY_SECONDS)

    in_touch_from = {gateway.name: 0.0 for gateway in gateways}
    broken = []
    for number, engine in enumerate(leaving):
        gateway = gateways[number % 2]
        other = gateways[1 - number % 2]
        removals: list[float] = []

        def remove_engine(
            engine: Engine = engine, removals: list[float] = removals
        ) -> None:
            removals.append(remove(site, engine))

        if site.has_trouble:
            started_at = restart(site, gateway, remove_engine)
            in_touch_from[gateway.name] = started_at + CONTACT_SECONDS
        else:
            remove_engine()
        sleep(PAUSE_SECONDS)
        for run in list(engine.runs):
            sender = run.request.partition("-")[2]
            age = run.at - removals[0]
            if age > DRAIN_SECONDS and run.at >= in_touch_from[sender]:
                restarted = "" if sender == other.name else ", restarted before"
                broken.append(
                    f"DRAIN: {sender}{restarted} sent {run.request}, which reached "
                    f"{engine.target} {age:.2f} s after it was gone"
                )
    sleep(SERVES_ON_SECONDS - PAUSE_SECONDS + 0.5)
    statuses = {request: status for _, request, _, status in site.answers}
    for engine in leaving:
        for request in engine.lost:
            path, status = site.sent[request][1], statuses.get(request, 0)
            if path.startswith("/order/"):
                text = f"{request}, which may run only once, was lost with"
                site.record.add(f"{text} {engine.target}: the client got {status}")
    return broken


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
