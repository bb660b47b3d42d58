"""Stored assignments and home tables, and their JSON."""

from array import array
from dataclasses import dataclass

import orjson

from peridot_placement.slices import HomeTable, SliceTable


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
    """Return the assignment in a JSON document."""
    fields = orjson.loads(text)
    table = SliceTable(
        fields["targets"],
        array("Q", fields["starts"]),
        array("i", fields["owners"]),
        array("i", fields["nextOwners"]),
    )
    return Assignment(
        fields["service"],
        fields["dataCentre"],
        fields["term"],
        fields["sequence"],
        fields["writeId"],
        table,
    )


def serialize_home(home: HomeTable) -> bytes:
    """Return the JSON of a home table."""
    return orjson.dumps({"starts": home.starts, "dataCentres": home.data_centres})


def parse_home(text: bytes) -> HomeTable:
    """Return the home table in a JSON document."""
    fields = orjson.loads(text)
    return HomeTable(tuple(fields["starts"]), tuple(fields["dataCentres"]))
