"""Test commands of peridotctl with an in-memory store."""

import asyncio
from contextlib import contextmanager
from threading import Thread

import pytest
from absl import flags
from absl.testing import flagsaver
from aiohttp import web
from aiohttp.test_utils import TestServer

from peridot_ctl.errors import Applied, Conflicted, Failed, OutcomeUnknown
from peridot_ctl.main import (
    EXIT_CONFLICT,
    EXIT_ERRORS,
    EXIT_OK,
    EXIT_STATE_UNREADABLE,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
    EXIT_WARNINGS,
    CommandContext,
    run,
    run_apply,
    run_check,
    worst_exit_code,
)
from peridot_objects.objects import MemoryObjectStore


@contextmanager
def serving(handler):
    """Serve GET /explain in a thread of its own; yield the URL."""
    loop = asyncio.new_event_loop()
    thread = Thread(target=loop.run_forever)
    thread.start()

    def call(action):
        return asyncio.run_coroutine_threadsafe(action, loop).result(5.0)

    application = web.Application()
    application.router.add_get("/explain", handler)
    server = TestServer(application)
    call(server.start_server())
    try:
        yield str(server.make_url("")).rstrip("/")
    finally:
        call(server.close())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


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


# Guards against a traceback: the URL may be that of a proxy, or of a later daemon.
@pytest.mark.parametrize(
    ("status", "reply"), [(502, "<html>no</html>"), (200, "3"), (200, "[]"), (404, "")]
)
def test_explain_says_so_if_the_reply_is_no_json_object(status, reply, capsys):
    async def serve(request):
        return web.Response(status=status, text=reply)

    with serving(serve) as url, flagsaver.flagsaver(admin=url):
        assert run(["peridotctl", "explain", "s", "k"]) == EXIT_UNAVAILABLE
    error = capsys.readouterr().err
    assert error.startswith("peridotctl: no explanation from http://127.0.0.1:")
    assert f"status {status}" in error


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


# Guards against scripts that go on with a configuration that is wrong or unchecked, and
# against differences that lack values.
@pytest.mark.parametrize(
    ("spec", "json", "outage", "code", "shown"),
    [
        ("{}", False, False, EXIT_WARNINGS, "  spec.priority: 1 -> 5\n"),
        ("{}", False, False, EXIT_WARNINGS, "  spec.queueLength: absent -> 200\n"),
        ("{}", False, False, EXIT_WARNINGS, "added: RoutingPolicy/p\nremoved: Routi"),
        ("{}", True, False, EXIT_WARNINGS, '"before":{"spec.priority":1},"after":{'),
        ('{"priority": 10}', False, False, EXIT_ERRORS, "f:2: error: spec.priority: "),
        ("{}", False, True, EXIT_STATE_UNREADABLE, "f:2: warning: RoutingPolicy/p: "),
        (None, False, False, EXIT_OK, "nothing found"),
    ],
)
def test_check_shows_findings_and_differences(
    spec, json, outage, code, shown, tmp_path, capsys
):
    async def check():
        store = MemoryObjectStore()
        for name in "oq" if spec else "":
            await store.write("RoutingPolicy", name, b'{"spec": {"priority": 1}}', 0)
        await store.set_outage(outage)
        return await run_check(CommandContext(store, session=None), [str(file)])

    file = tmp_path / "f"
    first = '{"kind": "RoutingPolicy", "name": "o", "spec": {}}'
    second = first.replace('"o"', '"p"').replace("{}", spec or "")
    file.write_text(f"[{first},\n{second}]" if spec else "[]")
    with flagsaver.flagsaver(against=True, json=json):
        assert asyncio.run(check()) == code
    assert shown in capsys.readouterr().out
