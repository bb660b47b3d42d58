"""Assignments and homes as they are stored, and their JSON forms."""

from array import array
from dataclasses import dataclass

import orjson

from peridot_placement.slices import HomeTable, SliceTable


@dataclass(frozen=True)
class Assignment:
    """Hold who owns a service's slices in one data centre, and who wrote it."""

    service: str
    data_centre: str
    term: int
    sequence: int
    write_id: str
    table: SliceTable

    @property
    def epoch(self) -> tuple[int, int]:
        """Return the term and sequence, which only rise."""
        return (self.term, self.sequence)

    @property
    def name(self) -> str:
        """Return the name of the stored object."""
        return assignment_name(self.service, self.data_centre)


def assignment_name(service: str, data_centre: str) -> str:
    """Return the name of the object that holds an assignment."""
    return f"{service}.{data_centre}"


def serialize_assignment(assignment: Assignment) -> bytes:
    """Return the JSON form of an assignment."""
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
    """Return the assignment that a JSON form describes."""
    form = orjson.loads(text)
    table = SliceTable(
        form["targets"],
        array("Q", form["starts"]),
        array("i", form["owners"]),
        array("i", form["nextOwners"]),
    )
    return Assignment(
        form["service"],
        form["dataCentre"],
        form["term"],
        form["sequence"],
        form["writeId"],
        table,
    )


def serialize_home(home: HomeTable) -> bytes:
    """Return the JSON form of a home table."""
    return orjson.dumps({"starts": home.starts, "dataCentres": home.data_centres})


def parse_home(text: bytes) -> HomeTable:
    """Return the home table that a JSON form describes."""
    form = orjson.loads(text)
    return HomeTable(tuple(form["starts"]), tuple(form["dataCentres"]))
