"""Metrics of a control process."""

from collections import Counter
from datetime import timedelta

import attrs
from hdrh.histogram import HdrHistogram

from camphorspread.process.metrics import (
    format_counter,
    format_gauges,
    format_labels,
    format_summary,
    make_histogram,
    to_microseconds,
)
from camphorspread.version.delivery import (
    AcknowledgementState,
    Delivery,
    PollDecision,
    RedirectToLeader,
    list_acknowledgements,
)
from camphorspread.version.replica_state import ReplicaState, Role

__all__ = ["ControlMetrics", "format_control_metrics", "record_poll", "record_sync"]

SECOND = timedelta(seconds=1)


@attrs.define(eq=False)
class ControlMetrics:
    """Counters and histogram of a control process.

    Attributes:
        sync_times: Histogram of the durations of log syncs, in microseconds.
        sync_time_sum: Sum of the recorded durations, in microseconds.
        polls: Answered polls by result.
        quota_renewals: Renewals of quota shares by result.
    """

    sync_times: HdrHistogram = attrs.field(factory=make_histogram)
    sync_time_sum: int = 0
    polls: Counter = attrs.field(factory=Counter)
    quota_renewals: Counter = attrs.field(factory=Counter)


def record_sync(metrics: ControlMetrics, duration: timedelta) -> None:
    """Record the duration of a log sync."""
    metrics.sync_times.record_value(to_microseconds(duration))
    metrics.sync_time_sum += to_microseconds(duration)


def record_poll(metrics: ControlMetrics, decision: PollDecision, has_lease: bool) -> None:
    """Count an answered poll as `lease`, `no_lease`, or `leader` if only the leader answers it."""
    match decision:
        case RedirectToLeader():
            result = "leader"
        case _:
            result = "lease" if has_lease else "no_lease"
    metrics.polls[(result,)] += 1


def format_control_metrics(
    metrics: ControlMetrics,
    state: ReplicaState,
    delivery: Delivery,
    log_bytes: int,
    now: timedelta,
) -> str:
    """Return all metrics of a control process in the Prometheus text format.

    Args:
        metrics: Counters and histogram.
        state: State of the replica.
        delivery: Delivery state, with the polls of entry VMs.
        log_bytes: Size of the log file.
        now: Current instant.
    """
    version = state.committed.catalogue.version
    states = Counter(item for _, item in list_acknowledgements(delivery, version, now))
    gauges = {
        "term": ("Term of the replicated log.", state.term),
        "commit_index": ("Last committed entry of the log.", state.committed.index),
        "catalogue_version": ("Catalogue version of this control process.", version),
        "quorum_contact_seconds": (
            "Time since the last contact with a quorum.",
            (now - state.quorum_contact_at) / SECOND,
        ),
        "log_bytes": ("Size of the log file; 0 without a data folder.", log_bytes),
        "storage_fault": (
            "1 after a storage failure, until a restart.",
            int(bool(state.storage_fault)),
        ),
        "entry_vms_current": (
            "Entry VMs that poll this replica and use the newest catalogue.",
            states[AcknowledgementState.CURRENT],
        ),
        "entry_vms_lagging": (
            "Entry VMs that poll this replica and use an older catalogue.",
            states[AcknowledgementState.LAGGING],
        ),
        "entry_vms_isolated": (
            "Entry VMs that polled this replica before, but not within the catalogue lease.",
            states[AcknowledgementState.ISOLATED],
        ),
    }
    lines = format_gauges(gauges)
    lines += list(format_role(state))
    lines += format_counter("polls", ("result",), "Answered polls of entry VMs.", metrics.polls)
    lines += format_counter(
        "quota_renewals",
        ("result",),
        "Renewals of shares of organisations' limits.",
        metrics.quota_renewals,
    )
    name = "camphorspread_sync_seconds"
    lines += [f"# HELP {name} Duration of a log sync.", f"# TYPE {name} summary"]
    lines += list(format_summary(name, {}, metrics.sync_times, metrics.sync_time_sum))
    return "\n".join(lines) + "\n"


def format_role(state: ReplicaState) -> list[str]:
    """Return the role gauge, with one line for each role and the value 1 for the current one."""
    name = "camphorspread_role"
    lines = [f"# HELP {name} 1 for the current role of the replica.", f"# TYPE {name} gauge"]
    for role in Role.__args__:
        labels = format_labels({"role": role.__name__.lower()})
        lines.append(f"{name}{labels} {int(isinstance(state.role, role))}")
    return lines
