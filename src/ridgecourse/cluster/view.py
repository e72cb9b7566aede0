"""What a gateway believes: configuration, versions of weights, targets."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from returns.result import Failure

from ridgecourse.cluster.bad_records import BadRecords
from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.keeper import DecisionKeeper
from ridgecourse.cluster.share import RecordShare, ToldTargets
from ridgecourse.cluster.target_events import note_targets
from ridgecourse.core.finding import Finding
from ridgecourse.core.ids import ModelName, Offset, Seconds, ServiceName, WeightsVersion
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.targets import ListedTarget, TargetList, TargetRecord
from ridgecourse.core.weights import NamedVersion, VersionAge, VersionHistory
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_follower import GATEWAY_PACE, ReadPace, RecordFollower
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordSource,
    Topic,
)
from ridgecourse.net.threads import spawn_loop

RETURN_PAUSE_SECONDS = 0.4
"""Between two reads of the list while targets that lapsed in an outage may return."""


class ClusterView:
    """State read from the platform's store.

    Attributes:
        config: The newest configuration; None before the first is known.
        version_seconds: From a version's name until it is required.
        histories: The named versions of each model.
        targets: The list of targets.
        listed: Whether the list has been read.
        share: The records read, for other processes.
        told_targets: The list as others are told it.
        keeper: Keeps decisions that the store's newest records no longer tell.
        changed: Notified after each change.
    """

    def __init__(
        self,
        source: RecordSource,
        keeper: DecisionKeeper,
        decoder: RecordDecoder,
        events: EventStream,
        version_seconds: float,
        pace: ReadPace = GATEWAY_PACE,
    ) -> None:
        self.decoder = decoder
        self.events = events
        self.bad_records = BadRecords(events)
        self.config: RoutingConfig | None = None
        self.version_seconds = version_seconds
        self.targets_pause = pace.targets_pause
        self.histories: dict[ModelName, VersionHistory] = {}
        self.targets = TargetList()
        self.listed = False
        self.changed = Broadcast()
        self.share = RecordShare(source.is_receiving, self._is_lost, self._kept_seconds)
        self.told_targets = ToldTargets(self.share.topics[Topic.TARGETS])
        self.keeper = keeper
        keeper.recalled = self.take_kept
        self.decisions_reader = RecordFollower(
            source,
            Topic.DECISIONS,
            pace.decision_wait,
            0.0,
            self.take_decisions,
            self._note_decisions_back,
            events,
            misses_none=True,
        )
        self.targets_reader = RecordFollower(
            source,
            Topic.TARGETS,
            0.0,
            pace.targets_pause,
            self.take_targets,
            self._note_targets_back,
            events,
            told_pause=pace.told_pause,
        )
        self.threads: list = []

    def take_version_bound(self, seconds: float) -> None:
        """Use another time from a version's name until it is required."""
        self.version_seconds = seconds
        for history in self.histories.values():
            history.bound = seconds

    def start(self) -> None:
        """Begin to read."""
        self.keeper.start()
        self.decisions_reader.start()
        self.targets_reader.start()
        self.threads.append(spawn_loop(self._expire))

    def close(self) -> None:
        """Stop reading."""
        self.decisions_reader.close()
        self.targets_reader.close()
        self.keeper.close()
        for thread in self.threads:
            thread.kill()

    def _note_decisions_back(self, away: float) -> None:
        self.targets.outage_ended(boottime())
        self.events.emit(EventKind.LOG_BACK, topic="decisions", away=round(away, 2))

    def _note_targets_back(self, away: float) -> None:
        """Note the end of an outage.

        The list is read often, so that its reader notices an outage first; the
        read that waits for decisions may hang on a connection that died in it. One
        that has noticed the outage as well is not given up: each copy that is begun
        anew makes all others on the link later.
        """
        self.targets.outage_ended(boottime())
        self.events.emit(EventKind.LOG_BACK, topic="targets", away=round(away, 2))
        if self.decisions_reader.lost_since is None:
            self.decisions_reader.restart()
        # Who returns is to be seen before those that do not are dropped.
        self.targets_reader.pause = min(RETURN_PAUSE_SECONDS, self.targets_pause)

    def _expire(self) -> None:
        while True:
            self.changed.wait(0.25)
            if boottime() >= self.targets.kept_until:
                self.targets_reader.pause = self.targets_pause
            for target in self.targets.expire(boottime()):
                self.events.emit(
                    EventKind.TARGET_GONE, target=target, why="not back after outage"
                )

    def lost_topics(self) -> Iterator[Topic]:
        """Yield what cannot be read from the store now."""
        for reader in (self.decisions_reader, self.targets_reader):
            if reader.lost_since is not None:
                yield reader.topic

    def _is_lost(self, topic: Topic) -> bool:
        return topic in self.lost_topics()

    def _kept_seconds(self, topic: Topic) -> float:
        """Return for how long removals of a topic are not believed."""
        if topic is not Topic.TARGETS:
            return 0.0
        return max(0.0, self.targets.kept_until - boottime())

    def take(self, topic: Topic, batch: RecordBatch, whole: bool) -> None:
        """Take in records of a topic, from the store or another process."""
        if topic is Topic.DECISIONS:
            self.take_decisions(batch, whole)
        else:
            self.take_targets(batch, whole)

    # Decisions.

    def take_decisions(self, batch: RecordBatch, whole: bool) -> None:
        """Take in operators' decisions; an older one never replaces a newer."""
        shared = self.share.topics[Topic.DECISIONS]
        shared.note_way(batch)
        named_at = self._date_names(batch)
        for record in batch.records:
            known = shared.records.get(record.key)
            if not self._take_decision(record, named_at):
                continue
            if known is not None and known.offset >= record.offset:
                # It was passed over: those who read from here and who start did so too.
                shared.put_late(record)
                self.keeper.keep(record)
            else:
                shared.put(record)
        shared.note_read(batch)
        self.share.changed.notify()
        self.changed.notify()

    def take_kept(self, records: Sequence[KeyedRecord]) -> None:
        """Take in decisions that were kept, where they are higher than those known."""
        shared = self.share.topics[Topic.DECISIONS]
        for record in records:
            known = shared.records.get(record.key)
            offset = known.offset if known else Offset(0)
            placed = KeyedRecord(record.key, record.value, offset)
            if self._take_decision(placed, None):
                shared.put_late(placed)
        self.changed.notify()

    def _date_names(self, batch: RecordBatch) -> Seconds | None:
        """Return when versions in a batch were named at the earliest.

        That is when the store was last heard of without them. Dated at their arrival,
        behind a large configuration, they were required 0.3 s too late.

        None for what was named before this process heard of the store: that may be
        long ago.
        """
        since = batch.since
        if since is None:
            since = self.share.topics[Topic.DECISIONS].heard_at
        return since or None

    def _take_decision(self, record: KeyedRecord, named_at: Seconds | None) -> bool:
        """Take in one decision; tell whether it is in force now.

        Args:
            record: The decision.
            named_at: When it was taken at the earliest; None if that is not known.
        """
        decoded = self.decoder.decision(record)
        if isinstance(decoded, Failure):
            for finding in decoded.failure():
                self.bad_records.note(Topic.DECISIONS, finding)
            self._keep_known(record)
            return False
        decision = decoded.unwrap()
        if isinstance(decision, RoutingConfig):
            newer = self._take_config(decision, record.offset)
        elif isinstance(decision, NamedVersion):
            newer = self._take_version(decision, record.offset, named_at)
        else:
            return False
        if not newer:
            self._note_outdated(record, decision.version)
        return newer

    def _take_config(self, config: RoutingConfig, offset: int) -> bool:
        if self.config is not None and config.version <= self.config.version:
            return False
        if self.config is not None:
            # What was read at the start may have held for long.
            shared = self.share.topics[Topic.DECISIONS]
            self.events.figures.observe("decision_lag", shared.lag)
        self.config = config
        self.events.emit(
            EventKind.CONFIG_FOLDED,
            offset=offset,
            version=str(config.version),
            **self._way(),
        )
        return True

    def _take_version(
        self, named: NamedVersion, offset: int, named_at: Seconds | None
    ) -> bool:
        history = self.history(named.model)
        now = boottime()
        if not history.name(named.version, now, named_at):
            return False
        self.events.emit(
            EventKind.VERSION_NAMED,
            offset=offset,
            version=str(named.version),
            model=named.model,
            age=None if named_at is None else round(now - named_at, 3),
            **self._way(),
        )
        return True

    def _way(self) -> dict[str, Any]:
        """Return how the newest decision came here, for an event."""
        shared = self.share.topics[Topic.DECISIONS]
        return {
            "unheard": round(self.decisions_reader.unheard, 3),
            "lag": round(shared.lag, 3),
            "level": shared.level,
        }

    def date_versions(self, ages: Iterable[VersionAge], asked_at: Seconds) -> None:
        """Take in since when versions are named, as another process tells.

        Args:
            ages: What it tells.
            asked_at: When it was asked: it reckoned the ages no earlier.
        """
        for told in ages:
            named_at = Seconds(asked_at - told.age)
            if self.history(told.model).date(told.version, named_at):
                self.events.emit(
                    EventKind.VERSION_DATED,
                    version=str(told.version),
                    model=told.model,
                    age=round(boottime() - named_at, 2),
                )

    def version_ages(self) -> Iterator[VersionAge]:
        """Yield the versions of which it is known when they were named."""
        for model, history in self.histories.items():
            yield from history.ages(model, boottime())

    def _note_outdated(self, record: KeyedRecord, version: int) -> None:
        """Note a record that is no newer than what is believed."""
        self.events.emit(
            EventKind.DECISION_OUTDATED,
            offset=record.offset,
            version=str(version),
            key=record.key,
        )
        self._keep_known(record)

    def _keep_known(self, record: KeyedRecord) -> None:
        """Keep what holds elsewhere than under the key of a record that does not.

        Where that is the newest of its key, who starts would believe it, or nothing.
        """
        known = self.share.topics[Topic.DECISIONS].records.get(record.key)
        if known is None or known.value == record.value:
            return
        if known.offset < record.offset:
            self.keeper.keep(known)

    @property
    def decisions_age(self) -> float:
        """Seconds since the store told that no decision is newer."""
        return self.share.topics[Topic.DECISIONS].age

    def history(self, model: ModelName) -> VersionHistory:
        """Return the named versions of a model."""
        if model not in self.histories:
            self.histories[model] = VersionHistory(self.version_seconds)
        return self.histories[model]

    def wanted_version(self, model: ModelName) -> WeightsVersion:
        """Return the version of a model that is to be served."""
        return self.history(model).newest

    # Targets.

    def take_targets(self, batch: RecordBatch, whole: bool) -> None:
        """Take in changes of the list of targets, or the whole of it."""
        records, findings = self.decoder.targets(batch.records)
        self.told_targets.take(batch, records, whole)
        self.share.changed.notify()
        for finding in [*findings, *self._find_unnamed(records)]:
            self.bad_records.note(Topic.TARGETS, finding)
        before = dict(self.targets.targets)
        now = boottime()
        if self.decisions_reader.lost_since is not None:
            # The store was away too shortly for this reader to notice.
            self.targets.outage_ended(now)
        self.targets.keep_removed(Seconds(now + batch.kept))
        if whole:
            self.targets.replace(records, now)
        else:
            self.targets.apply(records, now)
        self.listed = True
        note_targets(self.events, before, self.targets.targets)
        self.changed.notify()

    def _find_unnamed(self, records: Iterable[TargetRecord]) -> Iterator[Finding]:
        """Yield entries of services that the configuration does not name.

        They stay listed, for the next configuration may name the service.
        """
        known = self.config.services if self.config else None
        for entry in [record.entry for record in records]:
            if known is not None and entry is not None and entry.service not in known:
                yield Finding(entry.target, f"unknown service {entry.service}")

    def serving(self, service: ServiceName) -> Iterator[ListedTarget]:
        """Yield the targets of a service that may get requests."""
        return self.targets.of_service(service)

    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return self.config is not None and self.listed
