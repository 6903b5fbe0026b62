"""Copies the program and the installed libraries that it needs to a folder.

Usage: python scripts/collect_packages.py FOLDER
"""

import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement

PROJECT = Path(__file__).parent.parent


def find_requirements(name: str, found: dict[str, Distribution]) -> None:
    """Add the distributions that one distribution needs, without its extras."""
    for line in distribution(name).requires or ():
        requirement = Requirement(line)
        is_wanted = requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        if is_wanted and requirement.name not in found:
            found[requirement.name] = distribution(requirement.name)
            find_requirements(requirement.name, found)


def copy_distribution(item: Distribution, folder: Path) -> None:
    """Copy the files of a distribution that lie within site-packages."""
    for file in item.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(file.locate(), target)


def main(folder: Path) -> None:
    """Copy everything."""
    found: dict[str, Distribution] = {}
    find_requirements("camphorspread", found)
    for item in found.values():
        copy_distribution(item, folder)
    shutil.copytree(
        PROJECT / "camphorspread",
        folder / "camphorspread",
        ignore=shutil.ignore_patterns("__pycache__"),
    )


if __name__ == "__main__":
    main(Path(sys.argv[1]))
