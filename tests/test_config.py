"""Tests of the configuration state that readers fold from the log.

A state machine compares readers of one log with each other and with a simple model.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ridgecourse.core.change import (
    Abort,
    AnyChange,
    ChangeRecord,
    ChangeStatus,
    CheckpointNotice,
    CreateFleet,
    JoinTarget,
    LeaveTarget,
    Place,
    PublishVersion,
    PutAccount,
    PutService,
    RollBack,
    ServiceKind,
    SetTraffic,
)
from ridgecourse.core.config import ConfigState
from ridgecourse.core.ids import (
    AccountName,
    ChangeId,
    DomainName,
    FleetName,
    ModelName,
    Offset,
    RootDigest,
    ServiceName,
    TargetName,
    VersionName,
)
from ridgecourse.net.config_store import ConfigStore
from ridgecourse.wire.codec import encode_message

FLEET = FleetName("f")
SERVICE = ServiceName("s")
TARGETS = [TargetName(name) for name in ("t1", "t2")]
VERSIONS = [VersionName(name) for name in ("v1", "v2")]


def digest_of(version: VersionName) -> RootDigest:
    return RootDigest(version * 32)


def join_target(target: TargetName) -> JoinTarget:
    address = "127.0.0.1:1"
    return JoinTarget(FLEET, SERVICE, target, DomainName("d"), address, address)


changes = st.one_of(
    st.just(CreateFleet(FLEET)),
    st.just(PutService(FLEET, SERVICE, ServiceKind.MODEL)),
    st.sampled_from(VERSIONS).map(
        lambda version: PublishVersion(
            FLEET, ModelName("m"), version, digest_of(version), version, 1
        )
    ),
    st.sampled_from(VERSIONS).map(
        lambda version: Place(FLEET, SERVICE, ModelName("m"), version)
    ),
    st.just(RollBack(FLEET, SERVICE)),
    st.just(Abort(FLEET, SERVICE)),
    st.sampled_from(TARGETS).map(join_target),
    st.sampled_from(TARGETS).map(lambda target: LeaveTarget(FLEET, target)),
    st.integers(-1, 3).map(
        lambda weight: SetTraffic(FLEET, SERVICE, {DomainName("d"): weight})
    ),
    st.integers(0, 12).map(
        lambda priority: PutAccount(FLEET, AccountName("a"), "k", priority=priority)
    ),
)


class ConfigMachine(RuleBasedStateMachine):
    """Folds one log in a first reader, record by record, and in a late one, in parts.

    Attributes:
        log: The encoded records.
        first: The reader that folds every record as soon as it is appended.
        late: The reader that gets parts of the log, snapshots and updates.
        decided: Status and offset of the first outcome of each change.
        leaving: Whether each target that joined is leaving, by target.
    """

    @initialize()
    def set_up(self) -> None:
        self.log: list[bytes] = []
        self.first = ConfigStore()
        self.late = ConfigStore()
        self.accepted: dict[ChangeId, int] = {}
        self.decided: dict[ChangeId, tuple[ChangeStatus, int]] = {}
        self.next_id = 0
        self.leaving: dict[TargetName, bool] = {}

    def append(self, record: ChangeRecord | CheckpointNotice) -> None:
        self.log.append(encode_message(record))
        for _, outcome in self.first.fold(len(self.log) - 1, self.log[-1:]):
            assert isinstance(record, ChangeRecord)
            decided = (outcome.status, outcome.offset)
            assert self.decided.setdefault(record.change_id, decided) == decided
            if (
                outcome.status is ChangeStatus.ACCEPTED
                and decided[1] == len(self.log) - 1
            ):
                self.record_accepted(record.change)

    def record_accepted(self, change: AnyChange) -> None:
        if isinstance(change, JoinTarget):
            self.leaving[change.target] = False
        if isinstance(change, LeaveTarget):
            self.leaving[change.target] = True

    @rule(change=changes, expected_revision=st.none() | st.integers(0, 30))
    def make_change(self, change: AnyChange, expected_revision: int | None) -> None:
        change_id = ChangeId(str(self.next_id))
        self.next_id += 1
        self.append(ChangeRecord(change_id, "o", change, expected_revision))

    @rule(change=changes, back_count=st.integers(1, 5))
    def repeat_change_id(self, change: AnyChange, back_count: int) -> None:
        """Send a known change id again, with any change, as after a lost reply."""
        before = self.first.state.snapshot()
        change_id = ChangeId(str(max(0, self.next_id - back_count)))
        if change_id not in self.decided:
            return
        self.append(ChangeRecord(change_id, "o", change))
        after = self.first.state.snapshot()
        assert after.targets == before.targets
        assert after.services == before.services

    @rule()
    def undecodable_record(self) -> None:
        self.log.append(b"\xff\x00")
        self.first.fold(len(self.log) - 1, self.log[-1:])

    @rule()
    def make_checkpoint_notice(self) -> None:
        self.append(CheckpointNotice(len(self.log), 0))

    @rule(start=st.integers(0, 40), length=st.integers(0, 40))
    def late_reader_gets_any_part(self, start: int, length: int) -> None:
        """Fold a part of the log: in any order, repeatedly, or after a gap."""
        before = self.late.offset
        self.late.fold(start, self.log[start : start + length])
        assert self.late.offset >= before

    @rule(size=st.integers(0, 40))
    def late_reader_gets_a_snapshot(self, size: int) -> None:
        """Restore a snapshot of any offset; an older one must not reset the state."""
        snapshot_source = ConfigStore()
        snapshot_source.fold(0, self.log[:size])
        before = self.late.offset
        self.late.restore(snapshot_source.state.snapshot())
        assert self.late.offset == max(before, snapshot_source.offset)

    @rule()
    def late_reader_asks_first_reader(self) -> None:
        self.late.apply(self.first.updates_since(self.late.offset))
        assert self.late.offset == self.first.offset

    @invariant()
    def same_offset_has_same_state(self) -> None:
        if not hasattr(self, "late"):
            return
        replay = ConfigStore()
        replay.fold(0, self.log[: self.late.offset])
        assert replay.state.digest() == self.late.state.digest()

    @invariant()
    def accepted_changes_are_kept(self) -> None:
        if not hasattr(self, "first"):
            return
        targets = {
            target.target: target.leaving
            for target in self.first.state.targets.values()
        }
        assert targets == self.leaving


TestConfig = ConfigMachine.TestCase
TestConfig.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def apply_change(
    state: ConfigState, change: AnyChange, expected: int | None = None
) -> str:
    offset = state.offset
    change_id = ChangeId(f"c{offset}")
    outcome = state.apply(offset, ChangeRecord(change_id, "o", change, expected))
    assert outcome is not None
    return outcome.reason if outcome.status is ChangeStatus.REJECTED else ""


def test_first_of_two_conflicting_changes_is_accepted() -> None:
    state = ConfigState()
    apply_change(state, CreateFleet(FLEET))
    apply_change(state, PutService(FLEET, SERVICE, ServiceKind.MODEL))
    revision = state.services[FLEET, SERVICE].revision
    weights = {DomainName("d"): 1}
    assert apply_change(state, SetTraffic(FLEET, SERVICE, weights), revision) == ""
    reason = apply_change(
        state, SetTraffic(FLEET, SERVICE, {DomainName("e"): 1}), revision
    )
    assert "conflict" in reason
    assert state.services[FLEET, SERVICE].traffic == weights


def test_content_of_version_cannot_change() -> None:
    state = ConfigState()
    apply_change(state, CreateFleet(FLEET))
    model = ModelName("m")
    first = PublishVersion(FLEET, model, VERSIONS[0], RootDigest("a" * 64), "p", 1)
    changed = PublishVersion(FLEET, model, VERSIONS[0], RootDigest("b" * 64), "p", 1)
    assert apply_change(state, first) == ""
    assert "other content" in apply_change(state, changed)


def test_applying_record_out_of_order_is_an_error() -> None:
    state = ConfigState()
    try:
        state.apply(Offset(3), None)
    except ValueError as error:
        assert "offset 3" in str(error)
    else:
        raise AssertionError("folded a record after a gap")
