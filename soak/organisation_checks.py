"""Checks of a soak's observations for keys, limits, regions and pauses that endpoints ask for.

A configuration whose acknowledgement got lost may be in force, so every check allows what the
newest acknowledged configuration or any later one that was sent allows.
"""

import itertools
from collections import defaultdict

from soak.guarantees import (
    APPLY_LIMIT_S,
    CONTACT_WINDOW_S,
    Arrival,
    CallerResponse,
    Observations,
    is_disturbed,
)
from soak.organisations import (
    FIRST_OWNERS,
    KEY_MARK,
    STEADY_KEYS,
    find_limit,
    find_owner,
    find_regions,
    list_keys,
)

__all__ = ["find_organisation_violations"]

# Limits of the users' deployments, and the bounds that the settings leave at their defaults.
WITHDRAWAL_LIMIT_S = 3.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_TOLERANCE = 20
# All VMs must have had a lower limit for this time before it is binding.
LIMIT_SETTLING_S = 3.0
UNAVAILABLE = 503
PAUSE_GRACE_S = 0.5
# For the last responses of the control VMs and the last requests, which are on their way.
CONTACT_GRACE_S = 0.5
MIN_JUDGED_LOSS_S = 0.4
MAX_REQUESTS_IN_PAUSE = 2
# Longer than an evacuation of its zone or a fault of its link, after which a server gets requests.
RETURN_LIMIT_S = 10.0


def find_organisation_violations(seen: Observations) -> list[str]:
    """Return a description of each violated guarantee on keys, limits, regions and pauses."""
    requests = {answer.request: answer for answer in seen.responses}
    return [
        *find_wrong_identities(seen, requests),
        *find_wrong_refusals(seen),
        *find_withdrawn_runs(seen, requests),
        *find_exceeded_limits(seen, requests),
        *find_wrong_regions(seen, requests),
        *find_wrong_revocations(seen, requests),
        *find_ignored_pauses(seen),
        *find_endless_pauses(seen),
    ]


def list_possible_contents(seen: Observations, since: float, until: float) -> list[dict]:
    """Return the configurations that may be in force in a period.

    Args:
        seen: All observations.
        since: Acknowledgements before this time have taken effect.
        until: End of the period.
    """
    newest = max((r for r, at in seen.accepted_at.items() if at <= since), default=0)
    return [
        content
        for revision, content in seen.sent.items()
        if revision >= newest and seen.sent_at.get(revision, 0.0) <= until
    ]


def find_wrong_identities(seen: Observations, requests: dict[str, CallerResponse]) -> list[str]:
    """Return requests that reached an endpoint with a key or another organisation's name."""
    violations = []
    for item in seen.arrivals:
        if item.has_key:
            violations.append(f"{item.request} reached {item.server} with a key")
        request = requests.get(item.request)
        if request is None:
            continue
        allowed = [(owner.encode(),) for owner in list_possible_owners(seen, request, item)]
        if not allowed or (request.is_public and request.key not in STEADY_KEYS.values()):
            # While its key is withdrawn, a request on a public route is one without a key.
            allowed.append(())
        since = request.sent_at - CONTACT_WINDOW_S
        if request.is_public and seen.is_strict and is_disturbed(seen, request.vm, since, item.at):
            # A VM that accepts no keys serves a public route without them.
            allowed.append(())
        if item.organisations not in allowed:
            violations.append(f"{item.request} reached {item.server} for {item.organisations}")
    return violations


def list_possible_owners(seen: Observations, request: CallerResponse, item: Arrival) -> set[str]:
    """Return the organisations for which a request may reach an endpoint.

    Also a request that waits while its key is given to another organisation must stop. Whether it
    may still run after its key was withdrawn from all organisations is checked separately.
    """
    contents = list_possible_contents(seen, item.at - WITHDRAWAL_LIMIT_S, item.at)
    owners = {find_owner(content, request.key) for content in contents} - {""}
    since = item.at - CONTACT_WINDOW_S
    if owners and not any(is_disturbed(seen, vm, since, item.at) for vm in (item.vm, request.vm)):
        return owners
    contents = list_possible_contents(seen, 0.0, item.at)
    return {find_owner(content, request.key) for content in contents} - {""}


def find_wrong_refusals(seen: Observations) -> list[str]:
    """Return wrong keys that were accepted, and proper requests that were refused."""
    violations = []
    ran = {request for request, _, _ in seen.runs}
    for answer in seen.responses:
        if not answer.is_public and answer.key not in FIRST_OWNERS:
            if answer.request in ran or answer.status not in (0, 401, 503):
                violations.append(f"{answer.request} has no valid key and got {answer.status}")
        elif answer.status in (403, 404) or (answer.status == 401 and is_proper(seen, answer)):
            violations.append(f"{answer.request} is proper and got {answer.status}")
    return violations


def is_proper(seen: Observations, answer: CallerResponse) -> bool:
    """Return True if no VM may have answered 401 to a request.

    A VM may do so for a key that was added within the contact window and the time until a change
    must be in effect. On a public route only a key that was withdrawn while its request waited is
    refused: the request had been admitted for an organisation, and can't become another's.
    """
    if answer.is_public:
        contents = list_possible_contents(seen, answer.sent_at - APPLY_LIMIT_S, answer.at)
        was_valid = [answer.key in list_keys(content) for content in contents]
        return not any(old and not new for old, new in itertools.pairwise(was_valid))
    since = answer.sent_at - CONTACT_WINDOW_S - APPLY_LIMIT_S
    return all(
        answer.key in list_keys(content)
        for content in list_possible_contents(seen, since, answer.at)
    )


def find_withdrawn_runs(seen: Observations, requests: dict[str, CallerResponse]) -> list[str]:
    """Return requests that ran too long after their key was withdrawn."""
    senders = {(item.request, item.server): item.vm for item in seen.arrivals}
    violations = []
    for name, server, at in seen.runs:
        request = requests.get(name)
        if request is None or request.is_public or request.key not in FIRST_OWNERS:
            continue
        contents = list_possible_contents(seen, at - WITHDRAWAL_LIMIT_S, at)
        if any(request.key in list_keys(content) for content in contents):
            continue
        vms = (senders.get((name, server), ""), request.vm)
        if not any(is_disturbed(seen, vm, at - CONTACT_WINDOW_S, at) for vm in vms):
            violations.append(f"{name} ran at {server} at {at:.2f} after its key was withdrawn")
    return violations


def find_exceeded_limits(seen: Observations, requests: dict[str, CallerResponse]) -> list[str]:
    """Return the first window of each organisation in which too many requests ran."""
    spans = defaultdict(list)
    organisations = {(item.request, item.server): item.organisations for item in seen.arrivals}
    first_runs: dict[str, tuple[float, str]] = {}
    for name, server, at in seen.runs:
        first_runs[name] = min((at, server), first_runs.get(name, (at, server)))
    for name, (at, server) in first_runs.items():
        request = requests.get(name)
        # Keys may be swapped, so the name that the endpoint got tells whose request it was.
        for organisation in organisations.get((name, server), ()):
            if request is not None:
                spans[organisation.decode()].append((request.sent_at, at))
    return [
        violation
        for organisation, items in spans.items()
        if (violation := find_exceeded_limit(seen, organisation, sorted(items)))
    ]


def find_exceeded_limit(
    seen: Observations, organisation: str, spans: list[tuple[float, float]]
) -> str | None:
    """Return the first window in which too many requests were both sent and run, or None.

    Args:
        seen: All observations.
        organisation: Name of the organisation.
        spans: When each of its requests was sent and ran, in order.
    """
    for number, (start, _) in enumerate(spans):
        end = start + QUOTA_WINDOW_S
        count = 0
        for sent_at, ran_at in spans[number:]:
            if sent_at > end:
                break
            count += ran_at <= end
        if count <= QUOTA_TOLERANCE:
            continue
        contents = list_possible_contents(seen, find_settled(seen, start), end)
        limits = [find_limit(content, organisation) for content in contents]
        if None in limits or not limits:
            continue
        bound = max(rate * QUOTA_WINDOW_S + burst for rate, burst in limits)
        bound = bound * (1 + QUOTA_OVERAGE) + QUOTA_TOLERANCE
        if count > bound:
            return f"{count} requests of {organisation} ran within 5 s from {start:.2f}: {bound:g}"
    return None


def find_settled(seen: Observations, start: float) -> float:
    """Return the time before which acknowledged limits are binding for a window.

    A VM that is disturbed in the time in which it should get a configuration gets it afterwards.

    Args:
        seen: All observations.
        start: Start of the window.
    """
    latest = start - LIMIT_SETTLING_S - APPLY_LIMIT_S
    settled = 0.0
    for at in sorted(seen.accepted_at.values()):
        received = max(
            (
                item.end
                for item in seen.disturbances
                if item.is_vm and item.start <= at + APPLY_LIMIT_S and item.end >= at
            ),
            default=at,
        )
        if max(received, at) <= latest:
            settled = at
    return settled


def find_wrong_regions(seen: Observations, requests: dict[str, CallerResponse]) -> list[str]:
    """Return requests that reached an endpoint in a region that didn't allow them.

    The VM that gets a request determines its regions; later configurations don't change them.
    """
    violations = []
    for item in seen.arrivals:
        request = requests.get(item.request)
        if request is None:
            continue
        organisation = b",".join(item.organisations).decode()
        contents = list_possible_contents(seen, request.sent_at - APPLY_LIMIT_S, item.at)
        if any(
            item.region in find_regions(content, organisation, request.regions)
            for content in contents
        ):
            continue
        if not is_disturbed(seen, request.vm, request.sent_at - CONTACT_WINDOW_S, item.at):
            violations.append(f"{item.request} reached {item.server} in {item.region}")
    return violations


def find_wrong_revocations(seen: Observations, requests: dict[str, CallerResponse]) -> list[str]:
    """Return keys that were accepted without control VMs under strict revocation, or not otherwise.

    A VM that was paused may take responses that waited meanwhile for new ones, so that its limit
    begins when it runs again.
    """
    grace_s = seen.revocation_limit_s + CONTACT_GRACE_S
    violations = []
    for start, end in seen.contact_losses:
        since = start + grace_s
        served = [item for item in seen.arrivals if item.organisations and since < item.at < end]
        if not seen.is_strict:
            # The organisation whose key is never withdrawn or swapped, and that has no limit.
            steady = [item for item in served if item.organisations == (b"kelp",)]
            if not steady and end - since > MIN_JUDGED_LOSS_S:
                violations.append(f"no request with a key ran without control VMs from {since:.2f}")
            continue
        for item in served:
            request = requests.get(item.request)
            vms = (item.vm, request.vm) if request else (item.vm,)
            if not any(is_disturbed(seen, vm, item.at - grace_s, item.at, False) for vm in vms):
                violations.append(f"{item.request} reached {item.server} after strict revocation")
        violations += [
            f"{answer.request} got {answer.status} after strict revocation, not 503 with a time"
            for answer in seen.responses
            if since < answer.sent_at < answer.at < end
            and answer.key in FIRST_OWNERS
            and not answer.is_public
            and answer.status not in (0, 401)
            and not (answer.status == UNAVAILABLE and answer.has_retry_time)
            and not is_disturbed(seen, answer.vm, answer.sent_at - grace_s, answer.at, False)
        ]
    return violations


def find_ignored_pauses(seen: Observations) -> list[str]:
    """Return endpoints that got too many requests of a VM in a pause that they asked for."""
    times = defaultdict(list)
    for item in seen.arrivals:
        times[(item.server, item.vm)].append(item.at)
    violations = []
    for pause in seen.pauses:
        end = pause.at + pause.length_s
        late = [at for at in times[(pause.server, pause.vm)] if pause.at + PAUSE_GRACE_S < at < end]
        if len(late) <= MAX_REQUESTS_IN_PAUSE:
            continue
        # The response may not have arrived if the link failed about that time.
        is_lost = is_disturbed(seen, pause.server, pause.at - 0.5, pause.at + 1.0)
        if not is_lost and not is_disturbed(seen, pause.vm, pause.at - 0.5, end, False):
            violations.append(
                f"{len(late)} requests of {pause.vm} reached {pause.server} in a pause of"
                f" {pause.length_s:g} s from {pause.at:.2f}"
            )
    return violations


def find_endless_pauses(seen: Observations) -> list[str]:
    """Return endpoints that got no requests for too long after all their pauses."""
    times = defaultdict(list)
    for item in seen.arrivals:
        times[item.server].append(item.at)
    ends: dict[str, float] = {}
    for pause in seen.pauses:
        ends[pause.server] = max(pause.at + pause.length_s, ends.get(pause.server, 0.0))
    observed_until = max((answer.at for answer in seen.responses), default=0.0)
    return [
        f"{server} got no requests within {RETURN_LIMIT_S:g} s after its pause until {end:.2f}"
        for server, end in ends.items()
        if end + RETURN_LIMIT_S < min(observed_until, seen.draining_at.get(server, observed_until))
        and not any(end < at <= end + RETURN_LIMIT_S for at in times[server])
        and not is_disturbed(seen, server, end, end + RETURN_LIMIT_S)
    ]


def find_logged_keys(text: str) -> bool:
    """Return True if a log contains a key."""
    return KEY_MARK in text
