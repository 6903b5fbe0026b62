"""`camphorspread check-catalogue`: validate a catalogue file without sending it."""

import json
from pathlib import Path

from returns.result import Failure, Result, Success

from camphorspread.process.command.output import SUCCESS, print_faults
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import ChangeRequest, apply_change, check_change
from camphorspread.version.codec import decode_change_request

__all__ = ["check_catalogue_file", "read_catalogue_file"]


def read_catalogue_file(path: Path) -> Result[tuple[ChangeRequest, ...], tuple[str, ...]]:
    """Read a file `{"regions": [...], "services": [...]}` as the changes that create its entries.

    Returns:
        The changes, regions first, or all faults. Each entry is validated against those before it.
    """
    try:
        value = json.loads(path.read_bytes())
    except OSError as exc:
        return Failure((f"{path}: {exc.strerror}",))
    except ValueError as exc:
        return Failure((f"{path}: no valid JSON: {exc}",))
    if not isinstance(value, dict) or set(value) - {"regions", "services"}:
        return Failure((f"{path}: allowed: an object with the fields regions and services",))
    catalogue, changes, faults = Catalogue(), [], []
    for field, kind in (("regions", "PutRegion"), ("services", "PutService")):
        for position, entry in enumerate(value.get(field, [])):
            request = decode_entry(kind, entry, f"{field}[{position}]")
            checked = request.bind(lambda req, now=catalogue: check_change(now, req))
            match checked:
                case Failure(error):
                    faults.append(f"{path}: {field}[{position}]: {error.message}")
                case _:
                    changes.append(request.unwrap())
                    catalogue = apply_change(catalogue, request.unwrap().change)
    return Failure(tuple(faults)) if faults else Success(tuple(changes))


def decode_entry(kind: str, entry: object, change_id: str) -> Result:
    """Decode one entry as the change that creates it."""
    body = {"type": kind, "entry": entry}
    return decode_change_request(
        {"change_id": change_id, "expected_version": 0, "operator": "file", "change": body}
    )


def check_catalogue_file(path: Path) -> int:
    """Print the faults of a catalogue file, if any; return the exit code."""
    match read_catalogue_file(path):
        case Failure(faults):
            return print_faults(faults)
        case Success(changes):
            print(f"{path}: valid, {len(changes)} entries")
    return SUCCESS
