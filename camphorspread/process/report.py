"""The accounting report: service levels promised and met, refusals, usage and costs."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from camphorspread.process.endpoints import EndpointRegistry
from camphorspread.process.metrics import Hop, Metrics
from camphorspread.process.settings import PriceSettings
from camphorspread.version.catalogue import Catalogue

__all__ = ["format_report", "make_report", "merge_reports"]

BYTES_PER_GB = 10**9
ADDITIVE_SERVICE_FIELDS = ("slots", "slots_in_use", "peak_in_flight")


def make_report(
    vm: str,
    zone: str,
    uptime: timedelta,
    catalogue: Catalogue | None,
    metrics: Metrics,
    registry: EndpointRegistry,
    prices: PriceSettings | None,
    now: timedelta,
) -> dict:
    """Return the report of one entry VM in JSON form.

    Args:
        vm: Name of the VM.
        zone: Its availability zone.
        uptime: Since the start of its process.
        catalogue: The catalogue in force.
        metrics: Counters and histograms since the start.
        registry: Endpoints that the VM owns.
        prices: Prices from its settings.
        now: Current instant.
    """
    names = sorted(catalogue.services) if catalogue else []
    return {
        "vms": [{"vm": vm, "availability_zone": zone, "hours": uptime / timedelta(hours=1)}],
        "services": {
            name: describe_service(catalogue, name, metrics, registry, now) for name in names
        },
        "links": [
            {"from": source, "to": target, "bytes": count}
            for (source, target), count in sorted(metrics.link_bytes.items())
        ],
        "prices": encode_prices(prices),
    }


def encode_prices(prices: PriceSettings | None) -> dict | None:
    """Return the JSON form of the prices."""
    if prices is None:
        return None
    return {
        "currency": prices.currency,
        "per_vm_hour": prices.per_vm_hour,
        "per_gb": prices.per_gb,
    }


def describe_service(
    catalogue: Catalogue, name: str, metrics: Metrics, registry: EndpointRegistry, now: timedelta
) -> dict:
    """Return the promised and the measured service levels of a service in JSON form."""
    entry = catalogue.find_service(name)
    live = registry.list_live(name, now)
    return {
        "owner": entry.owner,
        "promised_ms": entry.promised_ms,
        "region_limit": entry.region_limit,
        "shift_cap_per_second": entry.shift_cap_per_second,
        "slots": sum(endpoint.announcement.slots for endpoint in live),
        "slots_in_use": sum(endpoint.in_use for endpoint in live),
        "peak_in_flight": metrics.peak_in_flight[name],
        "kept": [
            {
                "kind": kind,
                "weight": weight,
                "requests": count,
                "good": metrics.good[(service, kind, weight)],
            }
            for (service, kind, weight), count in sorted(metrics.requests.items())
            if service == name
        ],
        "slowest_ms": {
            kind.value: histogram.get_value_at_percentile(99) / 1000
            for (service, kind, hop), histogram in metrics.histograms.items()
            if service == name and hop is Hop.CALLER
        },
        "refused": {
            error: count for (service, error), count in metrics.errors.items() if service == name
        },
        "refusal_reasons": {
            reason: count
            for (service, reason), count in metrics.refusal_reasons.items()
            if service == name
        },
    }


def merge_reports(reports: list[dict], missing: Iterable[str] = ()) -> dict:
    """Merge the reports of several entry VMs.

    Args:
        reports: One report for each VM.
        missing: VMs whose report is unavailable.
    """
    services: dict[str, dict] = {}
    links: Counter = Counter()
    for report in reports:
        for name, service in report["services"].items():
            known = services.get(name)
            services[name] = merge_services(known, service) if known else service
        for link in report["links"]:
            links[(link["from"], link["to"])] += link["bytes"]
    return {
        "vms": sorted((vm for report in reports for vm in report["vms"]), key=lambda it: it["vm"]),
        "missing": sorted(missing),
        "services": dict(sorted(services.items())),
        "links": [
            {"from": source, "to": target, "bytes": count}
            for (source, target), count in sorted(links.items())
        ],
        "prices": next((report["prices"] for report in reports if report["prices"]), None),
    }


def merge_services(one: dict, other: dict) -> dict:
    """Merge the reports of two VMs on one service."""
    kept: dict[tuple[str, str], dict] = {}
    for row in (*one["kept"], *other["kept"]):
        key = (row["kind"], row["weight"])
        before = kept.get(key, {"requests": 0, "good": 0})
        kept[key] = {
            **row,
            "requests": before["requests"] + row["requests"],
            "good": before["good"] + row["good"],
        }
    slowest = dict(one["slowest_ms"])
    for kind, value in other["slowest_ms"].items():
        slowest[kind] = max(value, slowest.get(kind, 0))
    return {
        **one,
        **{field: one[field] + other[field] for field in ADDITIVE_SERVICE_FIELDS},
        "kept": [kept[key] for key in sorted(kept)],
        "slowest_ms": slowest,
        "refused": dict(Counter(one["refused"]) + Counter(other["refused"])),
        "refusal_reasons": dict(
            Counter(one["refusal_reasons"]) + Counter(other["refusal_reasons"])
        ),
    }


def format_report(report: dict) -> str:
    """Return a merged report as text for people."""
    lines = [f"Report of {len(report['vms'])} entry VMs since the start of each"]
    if report["missing"]:
        lines.append(f"Not included, since they did not respond: {', '.join(report['missing'])}")
    for name, service in report["services"].items():
        lines += ["", *format_service(name, service)]
    return "\n".join([*lines, "", *format_usage(report)])


def format_service(name: str, service: dict) -> list[str]:
    """Return the lines of one service."""
    total = sum(row["requests"] for row in service["kept"])
    lines = [
        f"{name}, owner {service['owner']}",
        f"  promised: a complete response within {service['promised_ms']} ms",
    ]
    if not total:
        lines.append("  kept: no requests")
    for row in service["kept"]:
        share = 100 * row["good"] / row["requests"]
        slowest = service["slowest_ms"].get(row["kind"], 0)
        lines.append(
            f"  kept, {row['weight']} {row['kind']} requests: {row['good']} of {row['requests']} "
            f"on time and complete ({share:.2f}%); 99 of 100 {row['kind']} requests took "
            f"at most {slowest:g} ms on the slowest VM"
        )
    lines += [
        f"  limits: {service['slots_in_use']} of {service['slots']} slots in use; at most "
        f"{service['peak_in_flight']} requests in flight, allowed in each region "
        f"{service['region_limit']}; shifted at most {service['shift_cap_per_second']} a second"
    ]
    refused = ", ".join(f"{count} {kind}" for kind, count in sorted(service["refused"].items()))
    reasons = ", ".join(
        f"{count} {reason}" for reason, count in sorted(service["refusal_reasons"].items())
    )
    lines.append(
        f"  refused or failed: {refused}; reasons: {reasons}"
        if refused
        else "  refused or failed: none"
    )
    return lines


def format_usage(report: dict) -> list[str]:
    """Return the lines about VMs, links and costs."""
    hours = sum(vm["hours"] for vm in report["vms"])
    total_gb = sum(link["bytes"] for link in report["links"]) / BYTES_PER_GB
    lines = ["VMs"]
    lines += [
        f"  {vm['vm']} in {vm['availability_zone']}: {vm['hours']:.2f} hours"
        for vm in report["vms"]
    ]
    lines.append("Links between availability zones")
    lines += [
        f"  {link['from']} to {link['to']}: {link['bytes'] / BYTES_PER_GB:.3f} GB"
        for link in report["links"]
    ] or ["  none used"]
    prices = report["prices"]
    if prices is None:
        return [*lines, f"Costs: {hours:.2f} VM-hours and {total_gb:.3f} GB (no prices are set)"]
    cost = hours * prices["per_vm_hour"] + total_gb * prices["per_gb"]
    return [
        *lines,
        f"Costs: {cost:.2f} {prices['currency']} ({hours:.2f} VM-hours at "
        f"{prices['per_vm_hour']:g}, {total_gb:.3f} GB at {prices['per_gb']:g})",
    ]
