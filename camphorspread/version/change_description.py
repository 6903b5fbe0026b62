"""Human-readable descriptions of catalogue changes."""

from camphorspread.version.changes import (
    Change,
    PutDrain,
    PutRegion,
    PutRouting,
    PutService,
    RemoveDrain,
    RemoveRegion,
    RemoveService,
)

__all__ = ["describe_change"]


def describe_change(change: Change) -> str:
    """Return a one-line description of a change: action, kind and name of the entry.

    Examples:
        >>> describe_change(RemoveService("docs-svc"))
        'remove service docs-svc'
    """
    match change:
        case PutService(entry=entry):
            return f"put service {entry.name}"
        case RemoveService(name=name):
            return f"remove service {name}"
        case PutRegion(entry=entry):
            return f"put region {entry.name}"
        case RemoveRegion(name=name):
            return f"remove region {name}"
        case PutDrain(entry=entry):
            return f"put drain {entry.kind.value}/{entry.name}"
        case RemoveDrain(kind=kind, name=name):
            return f"remove drain {kind.value}/{name}"
        case PutRouting(document=document):
            return f"put routing revision {document.revision}"
