"""Gateways without requests pass their turns at cold engines to busy gateways.

Guards against a limit that is mostly unused because the gateways that have the turns
have no requests, and against turns that are used twice: by the gateway that passes the
turn and by the one that receives it.
"""

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from cold_model import ColdEngineModel, make_limit, make_peers
from gateway_site import make_settings
from msgspec import convert
from test_cold_engines import SERVICE, make_entry

from ridgecourse.core.cold_turns import MIN_INTERVAL_SECONDS, Turn
from ridgecourse.core.engine_rate_limits import EngineRateLimits
from ridgecourse.core.evacuations import Evacuations
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import EngineStart, Seconds
from ridgecourse.core.passed_turns import (
    ASK_INTERVAL_SECONDS,
    GRANT_SECONDS,
    MIN_REFUSALS,
    UNUSED_SECONDS,
    PassedTurns,
    TurnDemand,
)
from ridgecourse.gateway import cold_watch, limit_watch
from ridgecourse.gateway.cold_watch import ColdWatch
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.net.address import Address, parse_address
from ridgecourse.platform.settings import SiteFields, make_site
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.control import GatewayMessage

ENTRY = make_entry()
INCARNATION = ENTRY.incarnation
PEERS = make_peers(6)


def make_cold_limits(peer: Peer, now: float = 0.0) -> EngineRateLimits:
    """Return the limits of a gateway that knows the others and a cold engine."""
    model = ColdEngineModel(make_limit(4.0), Random(1), lambda peer, now: [])
    model.add_gateways([peer], lambda index: 1.0)
    limits = model.gateways[0].limits
    limits.record_cold(INCARNATION, make_limit(4.0))
    others = [other for other in PEERS if other != peer]
    limits.wait(INCARNATION, ENTRY.domain, others, Seconds(now))
    return limits


def find_sender() -> tuple[EngineRateLimits, float]:
    """Return the limits of a gateway that has a turn, and the time of its turn."""
    for peer in PEERS:
        limits = make_cold_limits(peer)
        state = limits.states.value_of(INCARNATION)
        if state.interval < float("inf"):
            return limits, state.next_send_at
    raise AssertionError("no gateway has a turn")


def test_only_a_turn_that_was_not_used_for_a_time_is_passed_on() -> None:
    limits, turn_at = find_sender()
    passed_turns = PassedTurns(limits)
    early = Seconds(turn_at + UNUSED_SECONDS / 2)
    assert not passed_turns.pass_turn(INCARNATION, early)
    assert passed_turns.pass_turn(INCARNATION, Seconds(turn_at + UNUSED_SECONDS))
    assert not passed_turns.pass_turn(INCARNATION, Seconds(turn_at + UNUSED_SECONDS))


def test_gateway_has_no_turn_for_a_second_after_the_end_of_a_passed_one() -> None:
    limits, turn_at = find_sender()
    now = turn_at + UNUSED_SECONDS
    assert PassedTurns(limits).pass_turn(INCARNATION, Seconds(now))
    next_turn = limits.states.value_of(INCARNATION).next_send_at
    assert next_turn >= now + GRANT_SECONDS + 1.0


def test_turn_in_use_is_not_passed_on() -> None:
    """A request holds the turn and connects to the engine meanwhile."""
    limits, turn_at = find_sender()
    limits.record_send(INCARNATION, Seconds(turn_at))
    passed_turns = PassedTurns(limits)
    assert not passed_turns.pass_turn(INCARNATION, Seconds(turn_at + 1.0))


def find_other() -> EngineRateLimits:
    """Return the limits of the gateway that has no turn."""
    for peer in PEERS:
        limits = make_cold_limits(peer)
        if limits.states.value_of(INCARNATION).interval == float("inf"):
            return limits
    raise AssertionError("all gateways have a turn")


def test_received_turn_is_used_once_and_ends() -> None:
    limits = find_other()
    passed_turns = PassedTurns(limits)
    now = Seconds(0.1)
    passed_turns.record_grant(INCARNATION, now)
    assert limits.wait(INCARNATION, ENTRY.domain, PEERS, now) == 0.0
    turn = limits.record_send(INCARNATION, now)
    assert turn is not None and turn.until is not None
    assert limits.wait(INCARNATION, ENTRY.domain, PEERS, now) == float("inf")
    assert limits.confirm_send(INCARNATION, turn, turn.until)
    assert not limits.confirm_send(INCARNATION, turn, Seconds(turn.until + 0.01))
    passed_turns.record_grant(INCARNATION, now)
    late = Seconds(now + GRANT_SECONDS)
    assert limits.wait(INCARNATION, ENTRY.domain, PEERS, late) == float("inf")


def test_turn_at_another_incarnation_is_ignored() -> None:
    limits = find_other()
    earlier = make_entry(0).incarnation
    PassedTurns(limits).record_grant(earlier, Seconds(0.1))
    assert limits.wait(INCARNATION, ENTRY.domain, PEERS, Seconds(0.1)) == float("inf")
    assert not PassedTurns(limits).pass_turn(earlier, Seconds(10.0))


def test_turn_of_an_engine_that_is_warm_again_changes_nothing() -> None:
    limits = find_other()
    limits.record_cold(INCARNATION, None)
    PassedTurns(limits).record_grant(INCARNATION, Seconds(0.1))
    assert limits.confirm_send(INCARNATION, Turn(Seconds(0.0)), Seconds(5.0))


def test_only_a_gateway_that_refuses_many_requests_asks_and_not_too_often() -> None:
    demand = TurnDemand()
    slow = [demand.record_refusal(SERVICE.name, Seconds(t)) for t in range(20)]
    assert not any(slow)
    asked = [
        demand.record_refusal(SERVICE.name, Seconds(100.0 + number * 0.1))
        for number in range(40)
    ]
    first = asked.index(True)
    assert first == MIN_REFUSALS - 1
    assert sum(asked) <= 1 + (40 - first) * 0.1 / ASK_INTERVAL_SECONDS


# The messages between two gateways.


class Clock:
    now = 1000.0

    def boottime(self) -> Seconds:
        return Seconds(self.now)


class Network:
    """Delivers messages at once; messages are encoded and decoded."""

    def __init__(self) -> None:
        self.watches: dict[str, LimitWatch] = {}
        self.sent: list[Any] = []

    def make_watch(self, peer: Peer) -> LimitWatch:
        host = parse_address(peer.control_address).host
        handlers: dict[type, Callable[[Any], None]] = {}

        def send(message: Any, addresses: list[Address]) -> None:
            for address in addresses:
                self.sent.append(message)
                data = encode_message(message)
                received = decode_message(data, GatewayMessage).unwrap()
                receiver: Any = self.watches[address.host].link
                receiver.handlers[type(received)](received)

        link: Any = SimpleNamespace(
            site=make_site(convert(make_settings("127.0.0.1:1"), SiteFields)),
            local=peer,
            known=lambda: [other for other in PEERS if other != peer],
            random=Random(1),
            address=Address(host, 7002),
            handlers=handlers,
            send=send,
            addresses_of=lambda peers: [
                Address(parse_address(p.control_address).host, 7002) for p in peers
            ],
        )
        view: Any = Mock()
        view.config.services = {SERVICE.name: SERVICE}
        view.targets.targets = {ENTRY.target: ENTRY}
        view.evacuation_records.evacuations = Evacuations()
        watch = LimitWatch(Mock(), link, ColdWatch(link.site, view, Mock()))
        self.watches[host] = watch
        return watch


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (cold_watch, limit_watch):
        monkeypatch.setattr(module, "boottime", clock.boottime)
    return clock


def test_busy_gateway_receives_the_turns_of_idle_ones(clock) -> None:
    network = Network()
    watches = [network.make_watch(peer) for peer in PEERS]
    entry = make_entry(cold=60.0)
    for watch in watches:
        watch.cold_watch.view.targets.targets[ENTRY.target] = entry
        watch.wait(entry, entry.incarnation)
    busy = next(w for w in watches if w.wait(entry, entry.incarnation) == float("inf"))
    clock.now += 3 * MIN_INTERVAL_SECONDS
    for _ in range(MIN_REFUSALS):
        busy.request_turns(SERVICE.name, [entry])
    names = [type(message).__name__ for message in network.sent]
    assert names.count("TurnRequest") == 5
    assert names.count("TurnGrant") == 5
    assert busy.wait(entry, entry.incarnation) == 0.0
    for _ in range(MIN_REFUSALS):
        clock.now += ASK_INTERVAL_SECONDS / MIN_REFUSALS
        busy.request_turns(SERVICE.name, [entry])
    names = [type(message).__name__ for message in network.sent]
    assert names.count("TurnRequest") == 10
    assert names.count("TurnGrant") == 5, "each turn is passed on once"


def test_turn_at_an_engine_that_is_not_listed_is_not_passed_on(clock) -> None:
    network = Network()
    watch = network.make_watch(PEERS[0])
    watch.cold_watch.view.targets.targets.clear()
    other = make_entry(EngineStart(7)).incarnation
    watch._receive_turn_request(Mock(incarnation=other, reply_to="127.0.0.1:1"))
    assert network.sent == []
