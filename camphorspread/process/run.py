"""Runs of requests at backend servers, as the registry of the servers sees them."""

from typing import Protocol

__all__ = ["Run"]


class Run(Protocol):
    """A run of this VM at a backend server, identified by its placement."""

    @property
    def route(self) -> str:
        """Name of the route."""

    @property
    def is_warm(self) -> bool:
        """True if the server has handled the object for this VM."""
