"""The two current deployments with their sizes and network delays."""

import attrs

from camphorspread.process.settings import PlaceSettings
from camphorspread.version.catalogue import (
    AvailabilityZoneEntry,
    RegionEntry,
    ServiceClass,
    ServiceEntry,
)

__all__ = ["LE_GOFF", "VODNA_VRAZKA", "Deployment", "EndpointPlan", "ServicePlan"]

LINK_BYTES_PER_SECOND = 500_000_000


@attrs.frozen
class ServicePlan:
    """A service with its catalogue entry and its backend servers.

    Attributes:
        entry: Catalogue entry.
        endpoints: Number of endpoints, spread evenly over the availability zones.
        slots: Slots of each endpoint.
    """

    entry: ServiceEntry
    endpoints: int
    slots: int


@attrs.frozen
class EndpointPlan:
    """One endpoint and where it runs."""

    service: str
    endpoint: str
    availability_zone: str
    slots: int


@attrs.frozen
class Deployment:
    """A fleet of seven entry VMs and its services.

    Attributes:
        name: Name of the deployment.
        region_names: Its three regions; the first one has the availability zone with two VMs.
        services: Its services.
        availability_zone_delay_ms: One-way delay between availability zones of a region.
        region_delay_ms: One-way delay between regions.
        caller_delay_ms: One-way delay between callers and an entry VM of their region.
    """

    name: str
    region_names: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    availability_zone_delay_ms: float
    region_delay_ms: float
    caller_delay_ms: float = 1.0

    @property
    def places(self) -> tuple[PlaceSettings, ...]:
        """The seven entry VMs."""
        first = PlaceSettings(
            f"{self.region_names[0]}-a-2", f"{self.region_names[0]}-a", self.region_names[0]
        )
        others = (
            PlaceSettings(f"{region}-{letter}-1", f"{region}-{letter}", region)
            for region in self.region_names
            for letter in ("a", "b")
        )
        return (*others, first)

    @property
    def availability_zones(self) -> tuple[str, ...]:
        """Names of the availability zones, the first one of each region before the second ones."""
        return tuple(f"{region}-{letter}" for letter in ("a", "b") for region in self.region_names)

    @property
    def endpoints(self) -> tuple[EndpointPlan, ...]:
        """All endpoints, spread evenly over the availability zones."""
        zones = self.availability_zones
        return tuple(
            EndpointPlan(
                plan.entry.name,
                f"{plan.entry.name}-{number + 1}",
                zones[number % len(zones)],
                plan.slots,
            )
            for plan in self.services
            for number in range(plan.endpoints)
        )

    def region_entries(self, owner: str) -> tuple[RegionEntry, ...]:
        """Return the catalogue entries of the regions; the limit of a region is its slot count."""
        return tuple(self.region_entry(region, owner) for region in self.region_names)

    def region_entry(self, region: str, owner: str) -> RegionEntry:
        """Return the catalogue entry of one region."""
        zones = tuple(
            AvailabilityZoneEntry(
                zone, tuple(place.vm for place in self.places if place.availability_zone == zone)
            )
            for zone in self.availability_zones
            if zone.startswith(region)
        )
        names = {zone.name for zone in zones}
        slots = sum(item.slots for item in self.endpoints if item.availability_zone in names)
        delays = {name: self.region_delay_ms for name in self.region_names if name != region}
        return RegionEntry(region, owner, slots, zones, delays, LINK_BYTES_PER_SECOND)


VODNA_VRAZKA = Deployment(
    name="vodna-vrazka",
    region_names=("sofia", "plovdiv", "varna"),
    services=(
        ServicePlan(
            ServiceEntry(
                "status-svc",
                "status desk",
                ServiceClass.INTERACTIVE,
                shift_cap_per_second=200,
                region_limit=36,
                promised_ms=300,
            ),
            endpoints=16,
            slots=6,
        ),
        ServicePlan(
            ServiceEntry(
                "filing-svc",
                "filing desk",
                ServiceClass.CRITICAL,
                shift_cap_per_second=60,
                region_limit=20,
                never_repeated=("POST /applications", "POST /fees", "POST /appointments"),
            ),
            endpoints=12,
            slots=5,
        ),
        ServicePlan(
            ServiceEntry(
                "docs-svc",
                "document desk",
                ServiceClass.UPLOAD,
                shift_cap_per_second=20,
                region_limit=12,
                request_time_limit_ms=60000,
                promised_ms=10000,
            ),
            endpoints=12,
            slots=3,
        ),
        ServicePlan(
            ServiceEntry(
                "gis-svc",
                "map desk",
                ServiceClass.DEFERRABLE,
                shift_cap_per_second=60,
                region_limit=12,
                promised_ms=500,
            ),
            endpoints=12,
            slots=3,
        ),
    ),
    availability_zone_delay_ms=1.5,
    region_delay_ms=55.0,
)

LE_GOFF = Deployment(
    name="le-goff",
    region_names=("bretagne", "ile-de-france", "londres"),
    services=(
        ServicePlan(
            ServiceEntry(
                "vitrine",
                "Yann Le Goff",
                ServiceClass.INTERACTIVE,
                shift_cap_per_second=200,
                region_limit=36,
                promised_ms=300,
            ),
            endpoints=18,
            slots=6,
        ),
        ServicePlan(
            ServiceEntry(
                "commandes",
                "Maud",
                ServiceClass.CRITICAL,
                shift_cap_per_second=40,
                region_limit=16,
                never_repeated=("POST /orders",),
            ),
            endpoints=12,
            slots=4,
        ),
        ServicePlan(
            ServiceEntry(
                "croquis",
                "Yann Le Goff",
                ServiceClass.UPLOAD,
                shift_cap_per_second=20,
                region_limit=12,
                request_time_limit_ms=60000,
                promised_ms=10000,
            ),
            endpoints=12,
            slots=3,
        ),
        ServicePlan(
            ServiceEntry(
                "nuancier",
                "Yann Le Goff",
                ServiceClass.DEFERRABLE,
                shift_cap_per_second=60,
                region_limit=12,
                promised_ms=500,
            ),
            endpoints=12,
            slots=3,
        ),
    ),
    availability_zone_delay_ms=1.0,
    region_delay_ms=20.0,
)
