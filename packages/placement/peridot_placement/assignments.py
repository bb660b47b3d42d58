"""Stored assignments and home tables, and their JSON."""

from array import array
from dataclasses import dataclass

import orjson

from peridot_objects.codec import MAX_VERSION
from peridot_objects.documents import PARSE_ERRORS, parse_name, parse_revision
from peridot_placement.slices import HomeTable, SliceTable
from peridot_resources.errors import InvalidObject


@dataclass(frozen=True)
class Assignment:
    """The slice table of a service in one data centre, and the write that stored it."""

    service: str
    data_centre: str
    term: int
    sequence: int
    write_id: str
    table: SliceTable

    @property
    def epoch(self) -> tuple[int, int]:
        """Return the term and sequence, which only increase."""
        return (self.term, self.sequence)

    @property
    def name(self) -> str:
        """Return the name of the stored object."""
        return assignment_name(self.service, self.data_centre)


def assignment_name(service: str, data_centre: str) -> str:
    """Return the name of the object that holds an assignment."""
    return f"{service}.{data_centre}"


def serialize_assignment(assignment: Assignment) -> bytes:
    """Return the JSON of an assignment."""
    table = assignment.table
    return orjson.dumps(
        {
            "service": assignment.service,
            "dataCentre": assignment.data_centre,
            "term": assignment.term,
            "sequence": assignment.sequence,
            "writeId": assignment.write_id,
            "targets": table.targets,
            "starts": table.starts.tolist(),
            "owners": table.owners.tolist(),
            "nextOwners": table.next_owners.tolist(),
        }
    )


def parse_assignment(text: bytes) -> Assignment:
    """Return the assignment in a JSON document; raise InvalidObject."""
    try:
        fields = orjson.loads(text)
        if not isinstance(fields["writeId"], str):
            raise TypeError("writeId is not text")
        table = SliceTable(
            [parse_name(name) for name in fields["targets"]],
            array("Q", fields["starts"]),
            array("i", fields["owners"]),
            array("i", fields["nextOwners"]),
        )
        return Assignment(
            parse_name(fields["service"]),
            parse_name(fields["dataCentre"]),
            parse_revision(fields["term"], MAX_VERSION),
            parse_revision(fields["sequence"], MAX_VERSION),
            fields["writeId"],
            table,
        )
    except (*PARSE_ERRORS, OverflowError) as error:
        raise InvalidObject(repr(error)) from error


def serialize_home(home: HomeTable) -> bytes:
    """Return the JSON of a home table."""
    return orjson.dumps({"starts": home.starts, "dataCentres": home.data_centres})


def parse_home(text: bytes) -> HomeTable:
    """Return the home table in a JSON document; raise InvalidObject."""
    try:
        fields = orjson.loads(text)
        return HomeTable(
            tuple(parse_revision(start, MAX_VERSION) for start in fields["starts"]),
            tuple(parse_name(name) for name in fields["dataCentres"]),
        )
    except PARSE_ERRORS as error:
        raise InvalidObject(repr(error)) from error
