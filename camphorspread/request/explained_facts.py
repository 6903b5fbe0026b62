"""What an explanation of a request states, and the state of the VM that it is based on."""

from datetime import timedelta

import attrs

from camphorspread.request.dialect import Dialect
from camphorspread.request.explained_candidates import OtherVmCandidate, ServerCandidate
from camphorspread.request.identify import ContactState
from camphorspread.request.placement_board import PlacementBoard
from camphorspread.request.placement_queue import PlacementQueue
from camphorspread.request.quota import QuotaBook
from camphorspread.request.splitting import Splitter
from camphorspread.version.routing import RouteTable

__all__ = [
    "Decision",
    "Explanation",
    "ForwardTo",
    "NotExplained",
    "OrganisationFacts",
    "Question",
    "QuotaFacts",
    "Refuse",
    "RouteFacts",
    "StartAt",
    "VmView",
    "WaitFor",
    "WaitForShare",
]


@attrs.frozen(eq=False)
class VmView:
    """The state of an entry VM on which its decisions about a new request depend.

    Attributes:
        board: State of servers and VMs.
        waiting: Queued requests.
        splitter: Division of routes among their services.
        quotas: Shares of the limits of organisations.
        table: Routes in force, None before the first ones.
        contact: What the VM knows about the age of its routes.
        can_renew: True if a request may wait for a renewal of its organisation's share.
        exit_at: When the process exits at the latest, None unless it is leaving.
        next_ticket: Number that the next request gets.
        dialect: Encodes refusals.
    """

    board: PlacementBoard
    waiting: PlacementQueue
    splitter: Splitter
    quotas: QuotaBook
    table: RouteTable | None
    contact: ContactState
    can_renew: bool
    exit_at: timedelta | None
    next_ticket: int
    dialect: Dialect


@attrs.frozen
class Question:
    """The request to be explained; it states no time limit of its own.

    Attributes:
        host: Its host.
        path: Its path.
        object_key: Its affinity key, empty for none.
        organisation: Name of its organisation, empty for a request without a key.
    """

    host: str
    path: str
    object_key: str = ""
    organisation: str = ""


@attrs.frozen
class NotExplained:
    """The request can't be explained, for instance because it has no route."""

    message: str


@attrs.frozen
class RouteFacts:
    """Route of a request, and the service that it is assigned to."""

    name: str
    service: str
    priority: int
    time_limit_s: float
    promised_s: float
    home_regions: tuple[str, ...]
    has_affinity: bool
    is_public: bool


@attrs.frozen
class QuotaFacts:
    """Limit of an organisation, and what this VM holds of it.

    Attributes:
        rate: Requests per second of all VMs together.
        burst: Requests on top of the rate.
        usable: Total of all shares, in requests per window.
        share: This VM's share of it.
        used: What this VM has used of its share in the last window.
        left: What is left of it.
        age_s: Time since the share was granted, None without a grant.
        is_leased: False if the share wasn't granted or its lease has ended.
        pressure: How much of the limit the demand of all VMs takes.
    """

    rate: float
    burst: float
    usable: int
    share: int
    used: int
    left: int
    age_s: float | None
    is_leased: bool
    pressure: str


@attrs.frozen
class OrganisationFacts:
    """Organisation of a request; without its keys."""

    name: str
    priority: int
    home_regions: tuple[str, ...]
    quota: QuotaFacts | None


@attrs.frozen
class StartAt:
    """The request would be sent to a backend server at once."""

    server: str
    cost_s: float


@attrs.frozen
class WaitFor:
    """The request would be queued; `is_late` if it could use leftover capacity only."""

    server: str
    cost_s: float
    is_late: bool


@attrs.frozen
class ForwardTo:
    """The request would be forwarded to another entry VM."""

    vm: str
    cost_s: float


@attrs.frozen
class WaitForShare:
    """The request would wait for its organisation's share; then it is decided anew.

    Attributes:
        cause: What it would wait for.
        longest_s: For how long at most.
    """

    cause: str
    longest_s: float


@attrs.frozen
class Refuse:
    """The request would be refused.

    Attributes:
        status: Status of the response.
        message: Text of the response.
        retry_after_s: Suggested delay before the caller retries, None for none.
        cause: Why it has no placement, empty if it is refused for another reason.
    """

    status: int
    message: str
    retry_after_s: float | None
    cause: str = ""


Decision = StartAt | WaitFor | ForwardTo | WaitForShare | Refuse


@attrs.frozen
class Explanation:
    """Where a request would go now, and why.

    Attributes:
        vm: The entry VM.
        revision: Revision of its routes.
        route: Route of the request.
        organisation: Its organisation, None for none.
        queued: Number of queued requests of the service.
        is_kept_at_home: False if requests about the object prefer another region.
        servers: Backend servers of the service that this VM knows.
        other_vms: Other entry VMs that it knows.
        decision: Where the request would go.
    """

    vm: str
    revision: int
    route: RouteFacts
    organisation: OrganisationFacts | None
    queued: int
    is_kept_at_home: bool
    servers: tuple[ServerCandidate, ...]
    other_vms: tuple[OtherVmCandidate, ...]
    decision: Decision
