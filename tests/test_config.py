"""The configuration's fold: a state machine against a simple oracle."""

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


def join(target: TargetName) -> JoinTarget:
    where = "127.0.0.1:1"
    return JoinTarget(FLEET, SERVICE, target, DomainName("d"), where, where)


changes = st.one_of(
    st.just(CreateFleet(FLEET)),
    st.just(PutService(FLEET, SERVICE, ServiceKind.MODEL)),
    st.sampled_from(VERSIONS).map(
        lambda v: PublishVersion(FLEET, ModelName("m"), v, digest_of(v), v, 1)
    ),
    st.sampled_from(VERSIONS).map(lambda v: Place(FLEET, SERVICE, ModelName("m"), v)),
    st.just(RollBack(FLEET, SERVICE)),
    st.just(Abort(FLEET, SERVICE)),
    st.sampled_from(TARGETS).map(join),
    st.sampled_from(TARGETS).map(lambda t: LeaveTarget(FLEET, t)),
    st.integers(-1, 3).map(lambda w: SetTraffic(FLEET, SERVICE, {DomainName("d"): w})),
    st.integers(0, 12).map(
        lambda p: PutAccount(FLEET, AccountName("a"), "k", priority=p)
    ),
)


class ConfigMachine(RuleBasedStateMachine):
    """One log, several readers that fold it in their own ways."""

    @initialize()
    def begin(self) -> None:
        self.log: list[bytes] = []
        self.first = ConfigStore()
        self.late = ConfigStore()
        self.accepted: dict[ChangeId, int] = {}
        self.told: dict[ChangeId, tuple[ChangeStatus, int]] = {}
        self.next_id = 0
        self.leaving: dict[TargetName, bool] = {}

    def append(self, record: ChangeRecord | CheckpointNotice) -> None:
        self.log.append(encode_message(record))
        for _, outcome in self.first.fold(len(self.log) - 1, self.log[-1:]):
            assert isinstance(record, ChangeRecord)
            told = (outcome.status, outcome.offset)
            assert self.told.setdefault(record.change_id, told) == told
            if outcome.status is ChangeStatus.ACCEPTED and told[1] == len(self.log) - 1:
                self.note_accepted(record.change)

    def note_accepted(self, change: AnyChange) -> None:
        if isinstance(change, JoinTarget):
            self.leaving[change.target] = False
        if isinstance(change, LeaveTarget):
            self.leaving[change.target] = True

    @rule(change=changes, guess=st.none() | st.integers(0, 30))
    def make_change(self, change: AnyChange, guess: int | None) -> None:
        change_id = ChangeId(str(self.next_id))
        self.next_id += 1
        self.append(ChangeRecord(change_id, "o", change, guess))

    @rule(change=changes, back=st.integers(1, 5))
    def repeat_an_id(self, change: AnyChange, back: int) -> None:
        """A lost reply: the same id again, whatever it now says."""
        before = self.first.state.snapshot()
        known = ChangeId(str(max(0, self.next_id - back)))
        if known not in self.told:
            return
        self.append(ChangeRecord(known, "o", change))
        after = self.first.state.snapshot()
        assert after.targets == before.targets
        assert after.services == before.services

    @rule()
    def undecodable_record(self) -> None:
        self.log.append(b"\xff\x00")
        self.first.fold(len(self.log) - 1, self.log[-1:])

    @rule()
    def notice(self) -> None:
        self.append(CheckpointNotice(len(self.log), 0))

    @rule(start=st.integers(0, 40), length=st.integers(0, 40))
    def late_reader_gets_any_part(self, start: int, length: int) -> None:
        """Parts come in any order, twice, or with a gap before them."""
        before = self.late.offset
        self.late.fold(start, self.log[start : start + length])
        assert self.late.offset >= before

    @rule(size=st.integers(0, 40))
    def late_reader_gets_a_snapshot(self, size: int) -> None:
        """Of an older or a newer offset; it never goes back."""
        source = ConfigStore()
        source.fold(0, self.log[:size])
        before = self.late.offset
        self.late.restore(source.state.snapshot())
        assert self.late.offset == max(before, source.offset)

    @rule()
    def late_reader_asks_the_first(self) -> None:
        self.late.apply(self.first.updates_since(self.late.offset))
        assert self.late.offset == self.first.offset

    @invariant()
    def same_offset_same_state(self) -> None:
        if not hasattr(self, "late"):
            return
        replay = ConfigStore()
        replay.fold(0, self.log[: self.late.offset])
        assert replay.state.digest() == self.late.state.digest()

    @invariant()
    def accepted_decisions_stand(self) -> None:
        if not hasattr(self, "first"):
            return
        found = {t.target: t.leaving for t in self.first.state.targets.values()}
        assert found == self.leaving


TestConfig = ConfigMachine.TestCase
TestConfig.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def fold(state: ConfigState, change: AnyChange, expected: int | None = None) -> str:
    offset = state.offset
    change_id = ChangeId(f"c{offset}")
    outcome = state.apply(offset, ChangeRecord(change_id, "o", change, expected))
    assert outcome is not None
    return outcome.reason if outcome.status is ChangeStatus.REJECTED else ""


def test_of_two_racing_changes_the_first_in_the_log_wins() -> None:
    state = ConfigState()
    fold(state, CreateFleet(FLEET))
    fold(state, PutService(FLEET, SERVICE, ServiceKind.MODEL))
    revision = state.services[FLEET, SERVICE].revision
    weights = {DomainName("d"): 1}
    assert fold(state, SetTraffic(FLEET, SERVICE, weights), revision) == ""
    lost = fold(state, SetTraffic(FLEET, SERVICE, {DomainName("e"): 1}), revision)
    assert "conflict" in lost
    assert state.services[FLEET, SERVICE].traffic == weights


def test_a_version_never_changes_its_content() -> None:
    state = ConfigState()
    fold(state, CreateFleet(FLEET))
    model = ModelName("m")
    first = PublishVersion(FLEET, model, VERSIONS[0], RootDigest("a" * 64), "p", 1)
    other = PublishVersion(FLEET, model, VERSIONS[0], RootDigest("b" * 64), "p", 1)
    assert fold(state, first) == ""
    assert "other content" in fold(state, other)


def test_folding_out_of_order_is_an_error() -> None:
    state = ConfigState()
    try:
        state.apply(Offset(3), None)
    except ValueError as error:
        assert "offset 3" in str(error)
    else:
        raise AssertionError("folded a record past a gap")
