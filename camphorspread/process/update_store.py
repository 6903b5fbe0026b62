"""Updates that a control VM has encoded for entry VMs, and the route tables behind them."""

from collections import OrderedDict
from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from camphorspread.version.catalogue import Catalogue, RoutingDocument
from camphorspread.version.catalogue_update import CatalogueUpdate, EncodedUpdate, encode_update
from camphorspread.version.changes import PutRouting
from camphorspread.version.delivery import Delivery
from camphorspread.version.routing import RouteTable
from camphorspread.version.routing_changes import RoutingChanges, diff_tables

__all__ = ["TableDecoder", "UpdateStore", "find_table", "find_update"]

# Besides the newest table, those that most entry VMs have.
MAX_TABLES = 3
# A transfer that began goes on with the update that it began with, also after newer changes.
MAX_UPDATES = 8

TableDecoder = Callable[[str], Result[RouteTable, str]]


@attrs.define(eq=False)
class UpdateStore:
    """Tables and updates that were used last.

    Attributes:
        decode_table: Decodes the text of a routing document into a `Result` with its table.
        tables: Tables by the identity of their documents, the one used last at the end.
        updates: Updates by catalogue version and the identity of the document that the receiver
            has, the one used last at the end.
    """

    decode_table: TableDecoder
    tables: OrderedDict[str, RouteTable] = attrs.field(factory=OrderedDict)
    updates: OrderedDict[tuple[int, str], EncodedUpdate] = attrs.field(factory=OrderedDict)


def find_update(
    store: UpdateStore, catalogue: Catalogue, delivery: Delivery, document: str, digest: str = ""
) -> EncodedUpdate:
    """Return the update that leads an entry VM to the newest catalogue.

    Args:
        store: Encoded updates.
        catalogue: The newest catalogue.
        delivery: History of changes, which has recent documents.
        document: Identity of the document that the entry VM has, empty for none. If it isn't known
            here, the update has the whole table.
        digest: Digest of the update that the entry VM is receiving; that one is returned as long
            as it is kept.

    Raises:
        ValueError: This program can't decode the document.
    """
    for key, update in store.updates.items():
        if update.digest == digest and key[1] == document:
            store.updates.move_to_end(key)
            return update
    key = (catalogue.version, document)
    if key not in store.updates:
        routing = make_changes(store, catalogue.routing, delivery, document)
        zones = tuple(sorted(catalogue.evacuated_zones))
        store.updates[key] = encode_update(CatalogueUpdate(catalogue.version, zones, routing))
    return keep_newest(store.updates, key, MAX_UPDATES)


def make_changes(
    store: UpdateStore, newest: RoutingDocument | None, delivery: Delivery, document: str
) -> RoutingChanges | None:
    """Return the changes from a document to the newest one, None if there are none."""
    if newest is None or newest.identity == document:
        return None
    # The history keeps few large documents; their tables are kept longer.
    base = store.tables.get(document)
    known = find_document(delivery, document) if base is None else None
    if known is not None:
        base = find_table(store, known)
    table = find_table(store, newest)
    return diff_tables(base, table, "" if base is None else document, newest.identity)


def find_document(delivery: Delivery, identity: str) -> RoutingDocument | None:
    """Return a recent document, None if it isn't in the history."""
    for delta in reversed(delivery.deltas):
        match delta.change:
            case PutRouting(document=document) if document.identity == identity:
                return document
    return None


def find_table(store: UpdateStore, document: RoutingDocument) -> RouteTable:
    """Return the table of a document.

    Raises:
        ValueError: This program can't decode the document.
    """
    key = document.identity
    if key not in store.tables:
        match store.decode_table(document.text):
            case Success(table):
                store.tables[key] = table
            case Failure(fault):
                raise ValueError(fault)
    return keep_newest(store.tables, key, MAX_TABLES)


def keep_newest(items: OrderedDict, key: object, count: int) -> object:
    """Return an item, and drop those that were used least recently."""
    items.move_to_end(key)
    while len(items) > count:
        items.popitem(last=False)
    return items[key]
