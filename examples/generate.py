"""Writes the example settings and catalogues; run it from the root of the project."""

import json
from pathlib import Path

from camphorspread.process.deployments import LE_GOFF, VODNA_VRAZKA
from camphorspread.version.codec import encode

FOLDER = Path(__file__).parent
CALLERS_PORT, BACKENDS_PORT, PEERS_PORT, OPERATORS_PORT = 17000, 17001, 17002, 17003
CONTROL_PEERS_PORT, CONTROL_OPERATORS_PORT = 17004, 17005
NETWORKS = {VODNA_VRAZKA.name: "127.1.0", LE_GOFF.name: "127.2.0"}
REGION_OWNERS = {VODNA_VRAZKA.name: "network operations", LE_GOFF.name: "operations"}


def list_vms(deployment):
    """Return (vm, availability zone, region, host) of each VM."""
    return [
        (place.vm, place.availability_zone, place.region, f"{NETWORKS[deployment.name]}.{number}")
        for number, place in enumerate(deployment.places, start=1)
    ]


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
            "backend_servers": address(host, BACKENDS_PORT),
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
        "replicas": replicas,
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
    """Return the entries of regions and services, with the delays within each region."""
    regions = [encode(entry) for entry in deployment.region_entries(REGION_OWNERS[deployment.name])]
    for region in regions:
        region["delays_ms"][region["name"]] = deployment.availability_zone_delay_ms
    return {"regions": regions, "services": [encode(plan.entry) for plan in deployment.services]}


if __name__ == "__main__":
    for example in (VODNA_VRAZKA, LE_GOFF):
        write_deployment(example)
