"""Serves explanations of where a request would go, at the metrics listener of an entry VM."""

import enum
from urllib.parse import parse_qs

import attrs

from camphorspread.connection.exchange import Exchange
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import describe_contact
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.explained_facts import (
    Decision,
    Explanation,
    ForwardTo,
    NotExplained,
    Question,
    Refuse,
    StartAt,
    VmView,
    WaitFor,
    WaitForShare,
)
from camphorspread.request.explanation import explain_request
from camphorspread.request.quota_admission import can_renew

__all__ = ["EXPLAIN_PATH", "encode_explanation", "make_view", "serve_explanation"]

EXPLAIN_PATH = "/explain"
# A query of one long value is cheap to decode; more parameters than there are aren't decoded.
MAX_PARAMETERS = 8
# Digits of the seconds in an explanation.
DIGITS = 6


def make_view(state: SteeringState) -> VmView:
    """Return the part of the state that an explanation is based on; it isn't a copy."""
    return VmView(
        state.board,
        state.waiting,
        state.splitter,
        state.quotas,
        state.table,
        describe_contact(state),
        can_renew(state),
        state.exit_at,
        state.next_ticket + 1,
        state.dialect,
    )


async def serve_explanation(state: SteeringState, exchange: Exchange) -> None:
    """Serve `GET /explain?host=&path=&object=&organisation=`."""
    target = exchange.head.target.decode("ascii", "replace")
    try:
        values = parse_qs(target.partition("?")[2], max_num_fields=MAX_PARAMETERS)
    except ValueError:
        values = {}
    if exchange.head.method != b"GET" or not {"host", "path"} <= values.keys():
        refusal = Refusal(
            ErrorKind.MALFORMED_REQUEST, "allowed: GET with host, path, object, organisation"
        )
        await exchange.refuse(refusal)
        return
    question = Question(
        *(values.get(name, [""])[0] for name in ("host", "path", "object", "organisation"))
    )
    match explain_request(make_view(state), question, state.clock.monotonic()):
        case NotExplained(message=message):
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, message))
        case Explanation() as explanation:
            await exchange.respond_json(200, encode_explanation(explanation))


def encode_explanation(explanation: Explanation) -> dict[str, object]:
    """Return an explanation as a JSON value."""
    value = attrs.asdict(explanation, value_serializer=lambda _, __, item: encode_scalar(item))
    value["decision"] = {"kind": name_decision(explanation.decision), **value["decision"]}
    return value


def encode_scalar(item: object) -> object:
    """Return a field of an explanation as a JSON value."""
    match item:
        case enum.Enum():
            return item.value
        case float():
            return round(item, DIGITS)
        case _:
            return item


def name_decision(decision: Decision) -> str:
    """Return the name of a kind of decision."""
    match decision:
        case StartAt():
            return "start_at"
        case WaitFor():
            return "wait_for"
        case ForwardTo():
            return "forward_to"
        case WaitForShare():
            return "wait_for_share"
        case Refuse():
            return "refuse"
