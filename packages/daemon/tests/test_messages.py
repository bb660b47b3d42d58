"""Test peridotd's protobuf messages, valid and malformed."""

from time import monotonic

import pytest
from google.protobuf.message import DecodeError
from hypothesis import given, settings, strategies as st

from peridot_daemon.messages import (
    InvalidMessage,
    parse_outcome,
    parse_request,
    serialize_outcome,
    serialize_request,
)
from peridot_resources.catalog import Catalog, RoutingPolicy, Service
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown
from peridot_routing.requests import PossibleRun
from peridot_wire import peridot_pb2 as pb

POLICY = RoutingPolicy(
    "p", 2000, 1000, 5, (), 0.1, 200, 0.5, 1000, 1000, 60, 1.0, 1.0, 1.0
)
SERVICE = Service("s", "/s/", "Key", None, True, frozenset({"GET"}), (), "p")
CATALOG = Catalog(1, {"s": SERVICE}, {}, {"p": POLICY})
HEADERS = st.lists(st.tuples(st.text(max_size=9), st.text(max_size=9)), max_size=4)
OUTCOMES = st.one_of(
    st.builds(
        Answered,
        st.integers(200, 599),
        HEADERS.map(tuple),
        st.binary(max_size=99),
        st.text(max_size=9),
    ),
    st.builds(NotRun, st.sampled_from(Reason), st.integers(0, 9999), st.text()),
    st.builds(Unknown, st.sampled_from(Reason), st.text(), st.text(max_size=9)),
)


@settings(derandomize=True)
@given(outcome=OUTCOMES, call_id=st.integers(0, 2**64 - 1))
def test_outcome_round_trip(outcome, call_id):
    encoded = serialize_outcome(outcome, call_id).SerializeToString()
    reply = pb.ForwardReply.FromString(encoded)
    assert reply.id == call_id
    assert parse_outcome(reply) == outcome


@settings(derandomize=True, max_examples=500)
@given(data=st.binary(max_size=200))
def test_random_bytes_are_parsed_or_rejected_with_the_expected_errors(data):
    for message_type, parse in (
        (pb.ForwardReply, parse_outcome),
        (pb.ForwardRequest, lambda message: parse_request(message, CATALOG)),
    ):
        try:
            parse(message_type.FromString(data))
        except (DecodeError, InvalidMessage):
            pass


def test_request_round_trip():
    message = pb.ForwardRequest(
        id=3, service="s", method="POST", path="/s/x", key="k", deadline_ms=500
    )
    request = parse_request(message, CATALOG)
    assert not request.idempotent
    assert 0.4 < request.deadline - monotonic() <= 0.5
    request.possible_runs.append(PossibleRun("t", (2, 3)))
    parsed = parse_request(serialize_request(4, request, "t"), CATALOG)
    assert parsed.possible_runs == request.possible_runs
    assert (parsed.method, parsed.path, parsed.key_hash) == (
        request.method,
        request.path,
        request.key_hash,
    )


@pytest.mark.parametrize(
    "message",
    [
        pb.ForwardRequest(service="unknown", method="GET", path="/"),
        pb.ForwardRequest(service="s", method="GET", path="no slash"),
        pb.ForwardRequest(service="s", method="G T", path="/"),
    ],
)
def test_malformed_request_is_rejected(message):
    with pytest.raises(InvalidMessage):
        parse_request(message, CATALOG)


@pytest.mark.parametrize(
    "reply",
    [
        pb.ForwardReply(),
        pb.ForwardReply(outcome=pb.ANSWERED, status=42),
        pb.ForwardReply(outcome=pb.NOT_RUN, reason="no-such-reason"),
    ],
)
def test_malformed_outcome_is_rejected(reply):
    with pytest.raises(InvalidMessage):
        parse_outcome(reply)
