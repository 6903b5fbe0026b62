"""Copies the program and the installed libraries that it needs to a folder.

Usage: python scripts/collect_packages.py FOLDER
"""

import shutil
import sys
from importlib.metadata import Distribution, distribution
from pathlib import Path

from packaging.requirements import Requirement

PROJECT = Path(__file__).parent.parent


def collect_requirements(name: str, collected: dict[str, Distribution]) -> None:
    """Collect the dependencies of a distribution recursively, without extras."""
    for line in distribution(name).requires or ():
        requirement = Requirement(line)
        is_wanted = requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        if is_wanted and requirement.name not in collected:
            collected[requirement.name] = distribution(requirement.name)
            collect_requirements(requirement.name, collected)


def copy_distribution(item: Distribution, folder: Path) -> None:
    """Copy the files of a distribution that lie within site-packages."""
    for file in item.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(file.locate(), target)


def main(folder: Path) -> None:
    """Copy the project and its dependencies to a folder."""
    collected: dict[str, Distribution] = {}
    collect_requirements("camphorspread", collected)
    for item in collected.values():
        copy_distribution(item, folder)
    shutil.copytree(
        PROJECT / "camphorspread",
        folder / "camphorspread",
        ignore=shutil.ignore_patterns("__pycache__"),
    )


if __name__ == "__main__":
    main(Path(sys.argv[1]))
