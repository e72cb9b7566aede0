"""An instance freezes while its loader checks staged weights for the last time.

Pieces in the staging area turn bad in the middle of that check, also pieces that the
loader has checked before. The instance freezes at that moment. The loader wakes, checks
the remaining pieces and orders the start. Without the freeze, the same pieces turn bad
at the same moment, and the start follows within the time that the rule excuses.
"""

import sys
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGSTOP
from threading import Event, Thread
from time import monotonic, sleep

from harness import (
    CaseFailed,
    Deployment,
    Program,
    ask,
    has_trouble,
    is_ready,
    run_case,
    wait_for,
)
from model_engine import (
    CHUNK_BYTES,
    CHUNKS,
    EXCUSED_SECONDS,
    MODEL,
    SERVICE,
    ZONE,
    Engine,
    make_model_config,
    make_model_request,
)

from ridgecourse_standins.platform.store import StoreStandIn
from ridgecourse_standins.platform.weights import OriginStandIn

GATEWAY_HOST = "127.0.0.11"
ENGINE_HOST = "127.0.0.21"
FREEZE_SECONDS = 3.5
"""Length of the freeze: ``node_freeze`` lasts up to 4 s on ``side`` machines."""
BAD_PIECES = int(0.06 * CHUNKS)
"""Pieces that turn bad: the share ``x`` of ``garble`` with ``rot``."""
FIRST_INDEX = CHUNKS // 2
"""Piece of the last check from which on the machine freezes."""
WORK_SHARES = (0.0, 0.1, 0.2, 0.05, 0.3, 0.15, 0.4)
"""Part of its work on a piece after which the loader is frozen, for each version."""
SETTLE_SECONDS = 0.02
"""Time in which a call that the loader has sent reaches the engine."""
REQUEST_PAUSE_SECONDS = 0.25
VERSIONS = range(2, 9)
"""Versions that are named one after the other, each with a freeze of its own. A loader
that waits for its engine when the freeze begins repeats the check; the case then goes
on with the next version."""
VERSION_SECONDS = 24.0
"""Longest time until an engine serves a version."""


class Freeze:
    """Turns pieces bad and freezes the machine in the middle of the last check.

    Attributes:
        version: The version that is named.
        is_armed: Whether the version is named and no piece has turned bad yet.
        ended: Set when the machine runs again.
    """

    def __init__(self, deployment: Deployment, engine: Engine, loader: Program) -> None:
        self.record = deployment.record
        self.engine = engine
        self.loader = loader
        self.bad = sorted(Random(62).sample(range(CHUNKS), BAD_PIECES))
        self.version = 1
        self.is_armed = False
        self.ended = Event()

    def arm(self, version: int) -> None:
        """Prepare for the last check of a version."""
        self.version = version
        self.ended.clear()
        self.is_armed = True

    def look(self, index: int) -> None:
        """Begin the freeze while the loader works in the middle of the last check.

        A loader passes over the staged pieces twice: it writes what is missing, and
        checks all right before the start.

        Args:
            index: The piece that the loader has just read.
        """
        is_written = self.engine.pieces == dict(
            enumerate(self.engine.versions[self.version])
        )
        is_last_check = is_written and self.engine.passes == 1
        if not self.is_armed or not is_last_check or index < FIRST_INDEX:
            return
        if not has_trouble():
            self.is_armed = False
            self.engine.rot(self.bad)
            self.ended.set()
            return
        calls = self.engine.calls
        self.engine.running.clear()
        # By then the loader has the answer and works on it.
        share = WORK_SHARES[self.version - VERSIONS.start]
        if share:
            sleep(share * self.engine.work_seconds)
        self.loader.send_signal(SIGSTOP)
        sleep(SETTLE_SECONDS)
        if self.engine.calls != calls:
            # The loader waits for an answer, and would repeat its check on waking.
            self.loader.send_signal(SIGCONT)
            self.engine.running.set()
            return
        self.is_armed = False
        self.engine.rot(self.bad)
        self.record.write("the machine of the engine freezes")
        Thread(target=self.hold, daemon=True).start()

    def hold(self) -> None:
        """Let the machine run again after the freeze."""
        sleep(FREEZE_SECONDS)
        self.loader.send_signal(SIGCONT)
        self.engine.running.set()
        self.record.write("the machine of the engine runs again")
        self.ended.set()


def play(deployment: Deployment) -> list[str]:
    """Play the case; return what broke the rule."""
    random = Random(1)
    versions = {
        version: [random.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]
        for version in (1, *VERSIONS)
    }
    store, origin = StoreStandIn(), OriginStandIn()
    origin.versions = versions
    for stand_in in (store, origin):
        stand_in.start()
        deployment.closers.append(stand_in.close)
    engine = Engine("i-0", ENGINE_HOST, versions, 1, deployment.record)
    deployment.closers.append(engine.close)
    store.put_config(make_model_config(origin.address))
    store.put_target(engine.name, engine.entry())
    gateway = deployment.gateway("edge-1", GATEWAY_HOST, ZONE, store.address)
    loader = deployment.loader(
        "side-1", ENGINE_HOST, ZONE, store.address, engine.address, SERVICE
    )
    wait_for("the gateway is ready", lambda: is_ready(gateway), 20.0)
    sleep(3.0)
    freeze = Freeze(deployment, engine, loader)
    engine.on_read = freeze.look
    for version in VERSIONS:
        change_version(deployment, store, gateway, freeze, version)
        if engine.bad_tokens:
            return [
                f"WHOLE: {engine.bad_tokens} tokens from layers taken with pieces "
                f"{engine.faults} spoilt for more than {EXCUSED_SECONDS} s"
            ]
    return []


def change_version(
    deployment: Deployment,
    store: StoreStandIn,
    gateway: Program,
    freeze: Freeze,
    version: int,
) -> None:
    """Name a version and send requests until some have run on it.

    Raises:
        CaseFailed: The engine does not serve the version in time, or no piece turned
            bad during the last check.
    """
    engine = freeze.engine
    freeze.arm(version)
    deployment.record.write(f"operator: version {version} named")
    store.put_version(MODEL, version)
    deadline = monotonic() + VERSION_SECONDS
    number = 0
    while engine.version != version:
        if monotonic() > deadline:
            raise CaseFailed(f"the engine does not serve version {version}")
        sleep(REQUEST_PAUSE_SECONDS)
        number += 1
        send(deployment, gateway, f"a-{version}-{number}")
    store.put_target(engine.name, engine.entry())
    if not freeze.ended.is_set():
        raise CaseFailed("no piece turned bad during the last check")
    for _ in range(6):
        sleep(REQUEST_PAUSE_SECONDS)
        number += 1
        send(deployment, gateway, f"a-{version}-{number}")
    sleep(1.0)


def send(deployment: Deployment, gateway: Program, attempt: str) -> None:
    """Send a request without waiting for its answer."""
    arguments = deployment, gateway, attempt, make_model_request(attempt)
    Thread(target=ask, args=arguments, daemon=True).start()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
