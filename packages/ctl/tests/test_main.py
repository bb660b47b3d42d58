"""Test commands of peridotctl with an in-memory store."""

import asyncio

import pytest
from absl import flags

from peridot_ctl.errors import Applied, Conflicted, Failed, OutcomeUnknown
from peridot_ctl.main import (
    EXIT_CONFLICT,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
    CommandContext,
    run_apply,
    worst_exit_code,
)
from peridot_objects.objects import MemoryObjectStore


@pytest.fixture(autouse=True)
def parsed_flags():
    flags.FLAGS(["peridotctl"])


# Guards against a traceback: a generated file may declare nothing.
def test_apply_of_an_empty_list_succeeds_and_says_so(tmp_path, capsys):
    file = tmp_path / "empty.jsonc"
    file.write_text("[]")
    store = MemoryObjectStore()
    context = CommandContext(store, session=None)
    assert asyncio.run(run_apply(context, [str(file)])) == EXIT_OK
    assert capsys.readouterr().out == "nothing is declared\n"
    assert store.writes == 0


@pytest.mark.parametrize(
    ("outcomes", "code"),
    [
        ([], EXIT_OK),
        ([Applied("Target", "t", "created", 1)], EXIT_OK),
        ([Conflicted("Target", "t", ""), Applied("Target", "u", "", 1)], EXIT_CONFLICT),
        ([Failed("Target", "t", ""), Conflicted("Target", "u", "")], EXIT_UNAVAILABLE),
        ([OutcomeUnknown("Target", "t", ""), Failed("Target", "u", "")], EXIT_UNKNOWN),
    ],
)
def test_exit_code_is_that_of_the_worst_outcome(outcomes, code):
    assert worst_exit_code(outcomes) == code
