"""Conversion of requests, outcomes and objects to peridotd's protobuf messages."""

from functools import singledispatch
from time import monotonic

from peridot_objects.connections import is_final_status
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_objects.vms import VmRecord, VmState
from peridot_placement.hashing import hash_key
from peridot_resources.catalog import Catalog
from peridot_routing.matching import is_idempotent
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import PossibleRun, RoutedRequest
from peridot_wire import peridot_pb2 as pb


class InvalidMessage(Exception):
    """Raised for a malformed message of a peer."""


def serialize_request(
    call_id: int, request: RoutedRequest, target: str
) -> pb.ForwardRequest:
    """Return the message that forwards a request."""
    message = pb.ForwardRequest(
        id=call_id,
        service=request.service.name,
        method=request.method,
        path=request.path,
        body=request.body,
        key=request.key,
        deadline_ms=max(0, int(request.remaining_s() * 1000)),
        target=target,
        request_id=request.request_id,
        priority=request.priority,
    )
    for run in request.possible_runs:
        term, sequence = run.epoch
        message.possible_runs.add(target=run.target, term=term, sequence=sequence)
    _add_headers(message, request.headers)
    return message


def parse_request(message: pb.ForwardRequest, catalog: Catalog) -> RoutedRequest:
    """Return the request in a message; raise InvalidMessage."""
    service = catalog.services.get(message.service)
    if service is None or service.policy not in catalog.policies:
        raise InvalidMessage(f"no service named {message.service}")
    if not message.path.startswith("/") or not message.method.isalpha():
        raise InvalidMessage("malformed method or path")
    return RoutedRequest(
        request_id=message.request_id,
        service=service,
        policy=catalog.policy_of(service),
        method=message.method,
        path=message.path,
        headers=_parse_headers(message),
        body=message.body,
        key=message.key,
        key_hash=hash_key(message.key),
        idempotent=is_idempotent(service, message.method, message.path),
        priority=message.priority,
        deadline=monotonic() + message.deadline_ms / 1000,
        possible_runs=[
            PossibleRun(run.target, (run.term, run.sequence))
            for run in message.possible_runs
        ],
    )


@singledispatch
def serialize_outcome(outcome: Outcome, call_id: int) -> pb.ForwardReply:
    """Return the message for an outcome."""
    raise TypeError(type(outcome).__name__)


@serialize_outcome.register
def _(outcome: Answered, call_id: int) -> pb.ForwardReply:
    reply = pb.ForwardReply(
        id=call_id,
        outcome=pb.ANSWERED,
        status=outcome.status,
        body=outcome.body,
        target=outcome.target,
    )
    _add_headers(reply, outcome.headers)
    return reply


@serialize_outcome.register
def _(outcome: NotRun, call_id: int) -> pb.ForwardReply:
    return pb.ForwardReply(
        id=call_id,
        outcome=pb.NOT_RUN,
        reason=f"{outcome.reason} {outcome.detail}",
        retry_after_ms=outcome.retry_after_ms,
    )


@serialize_outcome.register
def _(outcome: Unknown, call_id: int) -> pb.ForwardReply:
    return pb.ForwardReply(
        id=call_id,
        outcome=pb.UNKNOWN,
        reason=f"{outcome.reason} {outcome.detail}",
        target=outcome.target,
    )


def parse_outcome(reply: pb.ForwardReply) -> Outcome:
    """Return the outcome in a message; raise InvalidMessage."""
    if reply.outcome == pb.ANSWERED:
        if not is_final_status(reply.status):
            raise InvalidMessage(f"status {reply.status} is out of range")
        return Answered(reply.status, _parse_headers(reply), reply.body, reply.target)
    reason_name, _, detail = reply.reason.partition(" ")
    try:
        reason = Reason(reason_name)
    except ValueError as error:
        raise InvalidMessage(f"unknown reason {reason_name!r}") from error
    if reply.outcome == pb.NOT_RUN:
        return NotRun(reason, reply.retry_after_ms, detail)
    if reply.outcome == pb.UNKNOWN:
        return Unknown(reason, detail, reply.target)
    raise InvalidMessage(f"unknown outcome {reply.outcome}")


def serialize_change(change: Change) -> pb.ObjectChange:
    """Return the message for a change of a stored object."""
    deleted = isinstance(change, DeletedObject)
    return pb.ObjectChange(
        kind=change.kind,
        name=change.name,
        version=change.version,
        value=b"" if deleted else change.value,
        deleted=deleted,
    )


def parse_change(message: pb.ObjectChange) -> Change:
    """Return the change of a stored object in a message."""
    if message.deleted:
        return DeletedObject(message.kind, message.name, message.version)
    return StoredObject(message.kind, message.name, message.version, message.value)


def serialize_vm(vm: VmRecord) -> pb.VmRecord:
    """Return the message for a VM."""
    return pb.VmRecord(
        name=vm.name,
        data_centre=vm.data_centre,
        peer_address=vm.peer_address,
        state=vm.state,
    )


def parse_vm(message: pb.VmRecord) -> VmRecord:
    """Return the VM in a message; raise InvalidMessage for an unknown state."""
    try:
        state = VmState(message.state)
    except ValueError as error:
        raise InvalidMessage(f"unknown state {message.state!r}") from error
    return VmRecord(message.name, message.data_centre, message.peer_address, state)


def _add_headers(message, headers: tuple[tuple[str, str], ...]) -> None:
    for name, value in headers:
        message.headers.add(name=name, value=value)


def _parse_headers(message) -> tuple[tuple[str, str], ...]:
    return tuple((item.name, item.value) for item in message.headers)
