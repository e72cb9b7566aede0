"""The fields for cold engines are decoded, and heartbeats are passed on as needed.

Guards against an engine that a gateway takes for warm because the process that it reads
the list of targets from passes on no heartbeats, and against heartbeats of warm engines
that fill the links between regions. Also guards against deployments without the fields
that behave differently.
"""

from typing import Any

import cbor2
import pytest
from msgspec import convert
from msgspec.json import encode
from msgspec.structs import replace
from returns.result import Failure
from test_cold_engines import make_entry

from ridgecourse.cluster.record_server import TopicRecords
from ridgecourse.cluster.target_filter import TargetChangeFilter
from ridgecourse.core.cold_engines import ColdStatement
from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import Offset, Seconds, TargetId, WeightsVersion
from ridgecourse.core.report_rate import differs_from_reported
from ridgecourse.core.target_list import ListedTarget, TargetRecord
from ridgecourse.net.record_source import KeyedRecord, RecordBatch
from ridgecourse.platform.announcements import decode_cold_remaining
from ridgecourse.platform.config_records import ConfigFields, make_config
from ridgecourse.platform.records import decode_decision, decode_target
from ridgecourse.platform.settings import BoundFields, make_bounds, parse_site
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.control import EngineReport
from ridgecourse_standins.platform.sample_settings import (
    make_config as make_config_fields,
)
from ridgecourse_standins.platform.sample_settings import (
    make_engine_entry,
    make_settings,
)


def make_service(**fields: Any):
    config = make_config_fields()
    config["services"][0].update(fields)
    return make_config(convert(config, ConfigFields)).services["llm"]


def test_service_without_the_fields_has_no_cold_limit() -> None:
    service = make_service()
    assert (service.cold_start_seconds, service.cold_per_s) == (0.0, 0.0)


def test_fields_of_a_service() -> None:
    service = make_service(cold_start_s=12, cold_per_s=26)
    assert (service.cold_start_seconds, service.cold_per_s) == (12.0, 26.0)


@pytest.mark.parametrize("field", ["cold_start_s", "cold_per_s"])
@pytest.mark.parametrize("value", [-1, "4", None, True, 1e13])
def test_configuration_with_an_invalid_field_is_rejected(field: str, value) -> None:
    config = make_config_fields()
    config["services"][0][field] = value
    record = KeyedRecord("config", encode(config), Offset(1))
    assert isinstance(decode_decision(record), Failure)


def test_bounds_are_optional_in_the_settings() -> None:
    settings = make_settings("127.0.0.1:1")
    bounds = parse_site(encode(settings), "node.json").unwrap().bounds
    assert (bounds.cold_overage, bounds.cold_slack) == (1.5, 5.0)
    fields = {**settings["bounds"], "cold_overage": 2, "cold_slack": 1}
    bounds = make_bounds(convert(fields, BoundFields))
    assert (bounds.cold_overage, bounds.cold_slack) == (2.0, 1.0)


@pytest.mark.parametrize("value", [-1, "x"])
def test_invalid_bound_is_reported(value) -> None:
    settings = make_settings("127.0.0.1:1")
    settings["bounds"]["cold_slack"] = value
    result = parse_site(encode(settings), "node.json")
    assert "cold_slack" in str(result.failure()[0])


@pytest.mark.parametrize(("value", "seconds"), [(0, 0.0), (1500.5, 1.5005), (-3, 0.0)])
def test_cold_time_of_an_entry(value: float, seconds: float) -> None:
    entry = make_engine_entry("127.0.0.1:1", "a", cold_remaining_ms=value)
    record = decode_target(KeyedRecord("i-1", encode(entry), Offset(1))).unwrap()
    assert record.entry is not None
    assert record.entry.cold_remaining == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("text", "expected"), [("0", 0.0), ("1500", 1.5), ("12.5", 0.0125), ("", None)]
)
def test_header_of_a_health_answer(text: str, expected: float | None) -> None:
    assert decode_cold_remaining({"Cold-Remaining-Ms": text}).unwrap() == expected


@pytest.mark.parametrize("text", ["-1", "nan", "inf", "soon", "1, 2", "9" * 30])
def test_invalid_header_of_a_health_answer(text: str) -> None:
    result = decode_cold_remaining({"Cold-Remaining-Ms": text})
    assert isinstance(result, Failure)


# Reports of loaders.

STATUS = EngineStatus(WeightsVersion(1), False, 0, 0, 0, 317_000)


def test_report_without_a_statement_is_read() -> None:
    """A loader of an earlier release sends an array without the last element."""
    message = cbor2.loads(encode_message(EngineReport(STATUS)))
    message["status"] = message["status"][:-1]
    report = decode_message(cbor2.dumps(message), EngineReport).unwrap()
    assert report.status.cold is None


def test_statement_survives_the_wire() -> None:
    cold = ColdStatement(4.5, 0.25)
    sent = EngineReport(replace(STATUS, cold=cold))
    received = decode_message(encode_message(sent), EngineReport).unwrap()
    assert received.status.cold == cold


def test_only_a_change_between_cold_and_warm_is_a_changed_load() -> None:
    def make(remaining: float | None) -> EngineStatus:
        cold = None if remaining is None else ColdStatement(remaining, 0.1)
        return replace(STATUS, cold=cold)

    def differs(before: float | None, after: float | None) -> bool:
        now = Seconds(1.0)
        return differs_from_reported(make(before), now, make(after), now)

    assert differs(0.0, 4.0) and differs(4.0, 0.0) and differs(None, 4.0)
    assert not differs(4.0, 3.5) and not differs(None, 0.0)


# Heartbeats that are passed on.


class Filtered:
    """A filter of the list, to which heartbeats of one engine are applied."""

    def __init__(self, has_limit: bool) -> None:
        self.records = TopicRecords()
        self.filter = TargetChangeFilter(self.records, lambda service: has_limit)
        self.offset = 0

    def apply(self, entry: ListedTarget) -> bool:
        """Apply an entry; return whether it is passed on."""
        self.offset += 1
        offset = Offset(self.offset)
        record = KeyedRecord("i-1", b"%d" % self.offset, offset)
        batch = RecordBatch([record], Offset(self.offset + 1), Seconds(1.0))
        change = TargetRecord(TargetId("i-1"), offset, entry)
        self.filter.apply(batch, [change], is_snapshot=False)
        return self.records.records["i-1"] == record


def test_heartbeats_of_warm_engines_are_not_passed_on() -> None:
    filtered = Filtered(has_limit=True)
    assert filtered.apply(make_entry())
    assert not filtered.apply(make_entry())
    assert not filtered.apply(make_entry())


def test_heartbeats_of_cold_engines_and_the_first_warm_one_are_passed_on() -> None:
    filtered = Filtered(has_limit=True)
    assert filtered.apply(make_entry(cold=8.0))
    assert filtered.apply(make_entry(cold=6.8))
    # An engine without traffic stays cold for the same time.
    assert filtered.apply(make_entry(cold=6.8))
    assert filtered.apply(make_entry(cold=0.0))
    assert not filtered.apply(make_entry(cold=0.0))


def test_heartbeats_are_not_passed_on_for_services_without_a_limit() -> None:
    filtered = Filtered(has_limit=False)
    assert filtered.apply(make_entry(cold=8.0))
    assert not filtered.apply(make_entry(cold=6.8))
    assert not filtered.apply(make_entry(cold=0.0))
