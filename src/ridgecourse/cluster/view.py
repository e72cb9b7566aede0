"""The state that a process reads from the store: decisions and targets."""

from collections.abc import Iterable, Iterator
from typing import Any

from returns.result import Failure

from ridgecourse.cluster.decision_history import DecisionPins
from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.era_watch import EraWatch
from ridgecourse.cluster.evacuation_records import EvacuationRecords
from ridgecourse.cluster.pinned_decisions import PinnedDecisionSource
from ridgecourse.cluster.record_events import (
    EntryReading,
    InvalidRecords,
    emit_hold_events,
    emit_missed_records,
    emit_overtaken_events,
    find_unknown_services,
    reported_changes,
)
from ridgecourse.cluster.record_server import STALE_SECONDS, RecordServer
from ridgecourse.cluster.target_filter import TargetChangeFilter
from ridgecourse.core.ids import (
    Offset,
    Seconds,
    ServiceName,
    TargetId,
    era_of,
    index_of,
)
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.target_list import ListedTarget, TargetList
from ridgecourse.core.weights import NamedVersion, NamedVersions, VersionAge
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_follower import GATEWAY_PACE, ReadPace, RecordFollower
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordSource,
    Topic,
)
from ridgecourse.net.threads import Broadcast, kill_threads, spawn_loop

RETURN_PAUSE_SECONDS = 0.4
"""Interval between two reads of the list while targets whose entries expired during an
outage may return."""


class ClusterView(NamedVersions):
    """State read from the platform's store.

    Attributes:
        config: The newest configuration; None before the first is known.
        eras: Tracks returns of the store from older copies.
        targets: The list of targets.
        targets_loaded: Whether the list has been read.
        record_server: Serves the records to other processes.
        target_filter: Selects the changes of the list that are served to other
            processes.
        pinned_decisions: Pins the decisions in force.
        pins: Decides which decisions are pinned.
        evacuation_records: The evacuated failure domains.
        changed: Notified after each change.
    """

    def __init__(
        self,
        source: RecordSource,
        pinned_decisions: PinnedDecisionSource,
        decoder: RecordDecoder,
        events: EventStream,
        version_seconds: float,
        pace: ReadPace = GATEWAY_PACE,
    ) -> None:
        super().__init__(version_seconds)
        self.events = events
        self.decoder = decoder
        self.invalid_records = InvalidRecords(events)
        self.eras = EraWatch(events)
        self.config: RoutingConfig | None = None
        self.targets_pause = pace.targets_pause
        self.targets = TargetList()
        self.targets_loaded = False
        self.changed = Broadcast()
        self.record_server = RecordServer(
            source.is_receiving,
            self._is_lost,
            self._removal_grace_seconds,
            self.recent_version_ages,
        )
        self.target_filter = TargetChangeFilter(
            self.record_server.topics[Topic.TARGETS], self._limits_cold
        )
        self.pinned_decisions = pinned_decisions
        pinned_decisions.apply_pinned = self.apply_pinned
        decisions = self.record_server.topics[Topic.DECISIONS]
        pinned_decisions.applied_end = lambda: decisions.end
        self.pins = DecisionPins(decisions, pinned_decisions.pin, events)
        self.evacuation_records = EvacuationRecords(
            decoder, decisions, pinned_decisions, events, self._propagation_fields
        )
        self.decisions_reader = RecordFollower(
            source,
            Topic.DECISIONS,
            pace.decision_wait,
            0.0,
            self.apply_decisions,
            self._record_decisions_restored,
            events,
            reads_skipped=True,
        )
        self.targets_reader = RecordFollower(
            source,
            Topic.TARGETS,
            0.0,
            pace.targets_pause,
            self.apply_targets,
            self._record_targets_restored,
            events,
            relay_pause=pace.relay_pause,
        )
        self.threads: list = []

    def start(self) -> None:
        """Start reading the store."""
        self.pinned_decisions.start()
        self.decisions_reader.start()
        self.targets_reader.start()
        self.threads.append(spawn_loop(self._expire_targets))

    def close(self) -> None:
        """Stop reading the store."""
        self.decisions_reader.close()
        self.targets_reader.close()
        self.pinned_decisions.close()
        kill_threads(self.threads)

    def _record_decisions_restored(self, outage_seconds: float) -> None:
        self.events.emit(
            EventKind.LOG_BACK, topic="decisions", away=round(outage_seconds, 2)
        )

    def _record_targets_restored(self, outage_seconds: float) -> None:
        """Record that the store is available again.

        The list is read often, so its reader detects an outage first. The read that
        waits for decisions may hang on a connection that broke during the outage, and
        is restarted. A decisions reader that detected the outage as well is not
        restarted, because each answer that is requested again delays all others on the
        link.
        """
        self._record_return(boottime())
        self.events.emit(
            EventKind.LOG_BACK, topic="targets", away=round(outage_seconds, 2)
        )
        if self.decisions_reader.unavailable_since is None:
            self.decisions_reader.restart()

    def _record_return(self, now: Seconds) -> None:
        """Keep removed targets until those that return have been read."""
        self.targets.record_outage_end(now)
        self.targets_reader.pause = min(RETURN_PAUSE_SECONDS, self.targets_pause)

    def _expire_targets(self) -> None:
        while True:
            self.changed.wait(0.25)
            if boottime() >= self.targets.kept_until:
                self.targets_reader.pause = self.targets_pause
            for target in self.targets.expire(boottime()):
                self._emit_gone(target, "not back after outage")
            self._release_held()

    def _emit_gone(self, target: TargetId, why: str) -> None:
        self.events.emit(EventKind.TARGET_GONE, target=target, why=why)

    def record_health(self, target: TargetId, answer: HealthAnswer) -> None:
        """Record what a target that is held or was removed answered for its health."""
        if self.targets.record_health(target, answer, boottime()):
            self._emit_gone(target, "leaves after an outage")
            self.changed.notify()
        self._release_held()

    def _release_held(self) -> None:
        """Use the targets that need not be held any longer."""
        relisted = self.targets.relisted
        held_before = dict(relisted.held)
        if list(relisted.release_due(boottime())):
            emit_hold_events(self.events, held_before, relisted.held)
            self.changed.notify()

    def lost_topics(self) -> Iterator[Topic]:
        """Yield the topics that cannot be read from the store at the moment."""
        for reader in (self.decisions_reader, self.targets_reader):
            if reader.unavailable_since is not None:
                yield reader.topic

    def _is_lost(self, topic: Topic) -> bool:
        return topic in self.lost_topics()

    def _removal_grace_seconds(self, topic: Topic) -> float:
        """Return for how many seconds removals of a topic are still ignored."""
        if topic is not Topic.TARGETS:
            return 0.0
        return max(0.0, self.targets.kept_until - boottime())

    def apply(self, topic: Topic, batch: RecordBatch, whole: bool) -> None:
        """Apply records of a topic, from the store or from another process.

        Args:
            topic: The topic.
            batch: The records.
            whole: Whether the records are the newest ones of all keys.
        """
        if topic is Topic.DECISIONS:
            self.apply_decisions(batch, whole)
        else:
            self.apply_targets(batch, whole)

    # Decisions.

    def apply_decisions(self, batch: RecordBatch, is_snapshot: bool) -> None:
        """Apply operators' decisions; a lower revision never replaces a higher one.

        Evacuations are applied first, so that none is unknown while a configuration
        that arrived with it is in force.

        Args:
            batch: The records of the decisions.
            is_snapshot: Whether the records are the newest ones of all keys.
        """
        topic_records = self.record_server.topics[Topic.DECISIONS]
        has_returned = self.eras.observe(Topic.DECISIONS, topic_records, batch)
        if batch.has_gap:
            emit_missed_records(self.events, Topic.DECISIONS, topic_records.end, batch)
        is_snapshot = is_snapshot or batch.has_gap
        is_whole = is_snapshot or batch.skipped_from is not None
        topic_records.record_missed(batch, is_whole)
        topic_records.record_origin(batch)
        self.evacuation_records.record_completeness(batch, is_snapshot)
        named_at = self._earliest_named_at(batch)
        for record in self.evacuation_records.apply_batch(batch, is_snapshot):
            known = topic_records.records.get(record.key)
            if known == record:
                continue
            if not self._apply_decision(record, named_at, batch.is_relayed):
                continue
            if known is not None and known.offset >= record.offset:
                # This reader had skipped the record, so downstream processes and
                # processes that start have not received it either.
                topic_records.put_late(record)
                if not batch.is_relayed:
                    self.pinned_decisions.pin(record)
            else:
                topic_records.put(record)
        if has_returned and is_snapshot and not batch.is_relayed:
            self.pins.pin_missing(batch)
        self._apply_missing_ages(batch.version_ages)
        topic_records.record_progress(batch)
        if not batch.is_relayed:
            self.pinned_decisions.record_applied()
        self.record_server.changed.notify()
        self.changed.notify()

    def apply_evacuations(self, batch: RecordBatch) -> None:
        """Apply the evacuations in all records of another process."""
        self.evacuation_records.apply_batch(batch, True)
        self.changed.notify()

    def apply_pinned(self, pinned: RecordBatch) -> None:
        """Apply pinned decisions whose revisions are higher than the known ones."""
        topic_records = self.record_server.topics[Topic.DECISIONS]
        era = era_of(pinned.end)
        for record in self.evacuation_records.apply_pinned(pinned.records, era):
            known = topic_records.records.get(record.key)
            offset = known.offset if known else Offset(0)
            placed = KeyedRecord(record.key, record.value, offset)
            if self._apply_decision(placed, None):
                topic_records.put_late(placed)
        self.changed.notify()

    def _earliest_named_at(self, batch: RecordBatch) -> Seconds | None:
        """Return the earliest time at which versions in a batch may have been named.

        This is the last time at which the store confirmed its records without these
        versions. When versions were dated at their arrival, behind a large
        configuration, they were required 0.3 s too late.

        Returns:
            The time, or None if the versions were named before this process first read
            the store, which may be long ago.
        """
        since = batch.earliest_written_at
        if since is None:
            since = self.record_server.topics[Topic.DECISIONS].confirmed_at
        return self.eras.earliest_written_at(Topic.DECISIONS, since) or None

    def _apply_decision(
        self, record: KeyedRecord, named_at: Seconds | None, is_relayed: bool = False
    ) -> bool:
        """Apply one decision.

        Args:
            record: The record of the decision.
            named_at: The earliest time of the decision; None if not known.
            is_relayed: Whether another process sent the record.

        Returns:
            Whether the decision came into force.
        """
        decoded = self.decoder.decision(record)
        if isinstance(decoded, Failure):
            for problem in decoded.failure():
                self.invalid_records.record(Topic.DECISIONS, problem)
            self.pins.pin_known(record, is_relayed)
            return False
        decision = decoded.unwrap()
        if isinstance(decision, RoutingConfig):
            is_newer = self._apply_config(decision, record.offset)
        elif isinstance(decision, NamedVersion):
            is_newer = self._apply_version(decision, record.offset, named_at)
        else:
            return False
        if is_newer:
            self.pinned_decisions.record_in_force(record, decision.version)
        else:
            self.pins.record_outdated(record, decision.version, is_relayed)
        return is_newer

    def _apply_config(self, config: RoutingConfig, offset: int) -> bool:
        if self.config is not None and config.version <= self.config.version:
            return False
        if self.config is not None:
            # The configuration that was read at the start may be long in force, so the
            # lag is measured for later ones only.
            topic_records = self.record_server.topics[Topic.DECISIONS]
            self.events.metrics.observe("decision_lag", topic_records.lag)
        self.config = config
        self.events.emit(
            EventKind.CONFIG_FOLDED,
            offset=index_of(offset),
            version=str(config.version),
            **self._propagation_fields(),
        )
        return True

    def _apply_version(
        self, named_version: NamedVersion, offset: int, named_at: Seconds | None
    ) -> bool:
        history = self.history(named_version.model)
        now = boottime()
        if not history.record_version(named_version.version, now, named_at):
            return False
        self.events.emit(
            EventKind.VERSION_NAMED,
            offset=index_of(offset),
            version=str(named_version.version),
            model=named_version.model,
            age=None if named_at is None else round(now - named_at, 3),
            **self._propagation_fields(),
        )
        return True

    def _propagation_fields(self) -> dict[str, Any]:
        """Return event fields that describe how the newest decision arrived."""
        topic_records = self.record_server.topics[Topic.DECISIONS]
        return {
            "unheard": round(self.decisions_reader.unconfirmed_seconds, 3),
            "lag": round(topic_records.lag, 3),
            "level": topic_records.level,
        }

    def apply_version_ages(self, ages: Iterable[VersionAge], asked_at: Seconds) -> None:
        """Apply the ages of named versions that another process reported.

        Args:
            ages: The reported ages.
            asked_at: When the process was asked; it computed the ages no earlier.
        """
        for version_age in ages:
            named_at = Seconds(asked_at - version_age.age)
            if self.history(version_age.model).record_naming_time(
                version_age.version, named_at
            ):
                self.events.emit(
                    EventKind.VERSION_DATED,
                    version=str(version_age.version),
                    model=version_age.model,
                    age=round(boottime() - named_at, 2),
                )

    def _apply_missing_ages(self, ages: Iterable[VersionAge]) -> None:
        """Apply the ages of versions whose naming time this process does not know.

        Known times stay: each answer over a slow link would move a bound ahead.
        """
        missing = [
            version_age
            for version_age in ages
            if self.history(version_age.model).lacks_naming_time(version_age.version)
        ]
        self.apply_version_ages(missing, boottime())

    def version_ages(self) -> Iterator[VersionAge]:
        """Yield the ages of the versions whose naming times are known."""
        for model, history in self.histories.items():
            yield from history.ages(model, boottime())

    def recent_version_ages(self) -> Iterator[VersionAge]:
        """Yield the ages of the versions of models whose newest one is recent.

        A process that starts then reads the newest name alone, while the bound of an
        earlier one still applies to its requests.
        """
        now = boottime()
        for model, history in self.histories.items():
            if history.is_recent(now):
                yield from history.ages(model, now)

    @property
    def decisions_age(self) -> float:
        """Seconds since the store confirmed that there is no newer decision."""
        return self.record_server.topics[Topic.DECISIONS].age

    # Targets.

    def apply_targets(self, batch: RecordBatch, is_snapshot: bool) -> None:
        """Apply changes of the list of targets, or the complete list.

        Args:
            batch: The records.
            is_snapshot: Whether the records are the complete list.
        """
        topic_records = self.record_server.topics[Topic.TARGETS]
        if self.eras.observe(Topic.TARGETS, topic_records, batch):
            # Targets that started in the seconds that the store has lost are missing
            # until they write their entry again.
            self._record_return(boottime())
        records, problems = self.decoder.targets(batch.records)
        for problem in [*problems, *find_unknown_services(records, self.config)]:
            self.invalid_records.record(Topic.TARGETS, problem)
        now = boottime()
        if self.targets_reader.unavailable_since is not None:
            # Another process has sent the records in an outage.
            self.targets.record_outage_end(now)
        elif topic_records.age > STALE_SECONDS:
            # Otherwise the store has confirmed the list in the time in which the
            # sending process could not read it.
            self.targets.keep_removed(Seconds(now + batch.removal_grace_seconds))
        is_snapshot = is_snapshot or batch.has_gap
        if batch.has_gap:
            emit_missed_records(self.events, Topic.TARGETS, topic_records.end, batch)
        topic_records.record_copied_end(batch)
        self.targets.copied_end = topic_records.copied_end
        with reported_changes(self.events, self.targets, batch):
            if is_snapshot:
                overtaken = self.targets.replace(records, now, batch.end)
            else:
                overtaken = self.targets.apply(records, now)
        emit_overtaken_events(self.events, overtaken)
        self.target_filter.apply(batch, records, is_snapshot, overtaken)
        self.record_server.changed.notify()
        self.targets_loaded = True
        self.changed.notify()

    def _limits_cold(self, name: ServiceName) -> bool:
        service = self.config.services.get(name) if self.config else None
        return service is not None and service.cold_per_s > 0.0

    def entry_reading(self, target: TargetId) -> EntryReading:
        """Return what is known of a target's entry, for the log."""
        age = self.record_server.topics[Topic.TARGETS].age
        return EntryReading(self.targets.entry_offset(target), age)

    def serving_targets(self, service: ServiceName) -> Iterator[ListedTarget]:
        """Yield the targets of a service to which requests may be sent."""
        return self.targets.of_service(service)

    def is_ready(self) -> bool:
        """Check whether requests can be served."""
        return self.config is not None and self.targets_loaded
