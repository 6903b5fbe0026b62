"""Writes the example settings and catalogues; run it from the root of the project."""

import json
from pathlib import Path

import attrs

FOLDER = Path(__file__).parent
CALLERS_PORT, BACKENDS_PORT, PEERS_PORT, OPERATORS_PORT = 17000, 17001, 17002, 17003
CONTROL_PEERS_PORT, CONTROL_OPERATORS_PORT = 17004, 17005
ZONES = ("a", "b")
LINK_BYTES_PER_SECOND = 500_000_000


@attrs.frozen
class Deployment:
    """One example.

    Attributes:
        name: Name of its folder.
        network: First three numbers of its IP numbers.
        regions: Names of its regions.
        zone_delay_ms: One-way delay between availability zones of a region.
        region_delay_ms: One-way delay between regions.
        owner: Owner of the regions.
        services: Fields of the service entries; `slots` is endpoints times slots.
    """

    name: str
    network: str
    regions: tuple[str, ...]
    zone_delay_ms: float
    region_delay_ms: float
    owner: str
    services: tuple[dict, ...]


def service(name, owner, service_class, slots, promised_ms, rules=()):
    """Return a service entry; a region may serve two thirds of all slots of the service."""
    return {
        "name": name,
        "owner": owner,
        "service_class": service_class,
        "shift_cap_per_second": slots,
        "region_limit": slots * 2 // 3,
        "never_repeated": list(rules),
        "promised_ms": promised_ms,
    }


VODNA_VRAZKA = Deployment(
    "vodna-vrazka",
    "127.1.0",
    ("sofia", "plovdiv", "varna"),
    1.5,
    55,
    "network operations",
    (
        service("status-svc", "customer portal", "interactive", 16 * 6, 300),
        service(
            "filing-svc",
            "filing office",
            "critical",
            12 * 5,
            1000,
            ("POST /applications", "POST /fees", "POST /appointments"),
        ),
        service("docs-svc", "plans archive", "upload", 12 * 3, 5000),
        service("gis-svc", "network maps", "deferrable", 12 * 3, 1000),
    ),
)
LE_GOFF = Deployment(
    "le-goff",
    "127.2.0",
    ("bretagne", "ile-de-france", "londres"),
    1,
    20,
    "operations",
    (
        service("vitrine", "shop", "interactive", 18 * 6, 500),
        service("commandes", "wholesale", "critical", 12 * 4, 1000, ("POST /orders",)),
        service("croquis", "design studio", "upload", 12 * 3, 5000),
        service("nuancier", "design studio", "deferrable", 12 * 3, 1000),
    ),
)


def list_vms(deployment):
    """Return (vm, availability zone, region, host); the first availability zone has two VMs."""
    zones = [(f"{region}-{zone}", region) for region in deployment.regions for zone in ZONES]
    places = [(f"{zones[0][0]}-2", *zones[0])]
    places = [(f"{zone}-1", zone, region) for zone, region in zones] + places
    return [(*item, f"{deployment.network}.{n}") for n, item in enumerate(places, start=1)]


def address(host, port):
    """Return the JSON form of an address."""
    return {"host": host, "port": port}


def write(path, value):
    """Write a JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2) + "\n")


def write_deployment(deployment):
    """Write settings, fleet file, catalogue, access key and data folders."""
    folder = FOLDER / deployment.name
    vms = list_vms(deployment)
    first_of_region = [item for item in vms if item[1].endswith("-a") and item[0].endswith("-1")]
    replicas = [
        {
            "vm": vm,
            "peers": address(host, CONTROL_PEERS_PORT),
            "operators": address(host, CONTROL_OPERATORS_PORT),
        }
        for vm, _, _, host in first_of_region
    ]
    entry_vms = [
        {
            "vm": vm,
            "availability_zone": zone,
            "region": region,
            "callers": address(host, CALLERS_PORT),
            "peers": address(host, PEERS_PORT),
            "operators": address(host, OPERATORS_PORT),
        }
        for vm, zone, region, host in vms
    ]
    for vm, zone, region, host in vms:
        common = {
            "place": {"vm": vm, "availability_zone": zone, "region": region},
            "replicas": replicas,
            "access_key_file": "../access-key",
        }
        entry = {
            "role": "entry",
            **common,
            "callers": address(host, CALLERS_PORT),
            "backend_servers": address(host, BACKENDS_PORT),
            "peers": address(host, PEERS_PORT),
            "operators": address(host, OPERATORS_PORT),
            "entry_vms": entry_vms,
            "data_folder": f"../state/entry-{vm}",
        }
        write_process(folder, f"entry-{vm}", entry)
        if (vm, zone, region, host) in first_of_region:
            control = {
                "role": "control",
                **common,
                "peers": address(host, CONTROL_PEERS_PORT),
                "operators": address(host, CONTROL_OPERATORS_PORT),
                "data_folder": f"../state/control-{vm}",
            }
            write_process(folder, f"control-{vm}", control)
    fleet = {
        "replicas": [{"vm": item["vm"], "operators": item["operators"]} for item in replicas],
        "entry_vms": [{"vm": item["vm"], "operators": item["operators"]} for item in entry_vms],
        "access_key_file": "access-key",
    }
    write(folder / "fleet.json", fleet)
    write(folder / "catalogue.json", make_catalogue(deployment))
    (folder / "access-key").write_text("example-key-replace-before-use\n")


def write_process(folder, name, settings):
    """Write the settings of one process and keep its data folder in the repository."""
    write(folder / "settings" / f"{name}.json", settings)
    state = folder / "state" / name
    state.mkdir(parents=True, exist_ok=True)
    (state / ".gitignore").write_text("*\n!.gitignore\n")


def make_catalogue(deployment):
    """Return the entries of regions and services."""
    vms = list_vms(deployment)
    limit = sum(item["region_limit"] for item in deployment.services)
    regions = []
    for region in deployment.regions:
        zones = [f"{region}-{zone}" for zone in ZONES]
        delays = {
            other: deployment.zone_delay_ms if other == region else deployment.region_delay_ms
            for other in deployment.regions
        }
        regions.append(
            {
                "name": region,
                "owner": deployment.owner,
                "limit": limit,
                "availability_zones": [
                    {"name": zone, "vms": sorted(item[0] for item in vms if item[1] == zone)}
                    for zone in zones
                ],
                "delays_ms": delays,
                "link_bytes_per_second": LINK_BYTES_PER_SECOND,
            }
        )
    return {"regions": regions, "services": list(deployment.services)}


if __name__ == "__main__":
    for example in (VODNA_VRAZKA, LE_GOFF):
        write_deployment(example)
