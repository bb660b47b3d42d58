"""Tests of sessions with processes of peridotd and peridotctl, against snapshots."""

import asyncio
import re
import signal
import subprocess
import sys

import orjson

from peridot_fakes.fleet import open_fleet
from peridot_fakes.journals import check_journals
from peridot_fakes.load import Call, run_load
from peridot_fakes.trials import TrialService, write_manifests

VARYING = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"\d{4}-\d\d-\d\dT[\d:]+\+00:00"), "TIME"),
    (re.compile(r"instance=\w+"), "instance=ID"),
    (re.compile(r"took_ms=\d+"), "took_ms=N"),
    # An object's version counts all writes to the store, also those of the placer.
    (re.compile(r"(Target +desk-3 +)\d+ +"), r"\1REVISION  "),
)


def mask_varying(text):
    """Return a text with placeholders for values that differ between runs."""
    for pattern, word in VARYING:
        text = pattern.sub(word, text)
    return text


async def run_ctl(fleet, *arguments):
    """Run peridotctl; return its command line, its output and its exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "peridot_ctl.main",
        f"--object_api={fleet.platform_url}",
        *arguments,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    command = f"$ peridotctl {' '.join(arguments)}\n"
    text = f"{command}{output.decode()}exit {process.returncode}\n"
    return mask_varying(text.replace(str(fleet.folder), "FOLDER"))


def change_target(file, name, **changes):
    """Change the spec of one target's manifest in a file."""
    manifests = orjson.loads(file.read_bytes())
    for manifest in manifests:
        if manifest["name"] == name and manifest["kind"] == "Target":
            manifest["spec"] |= changes
    file.write_bytes(orjson.dumps(manifests, option=orjson.OPT_INDENT_2))


def choose_call(rng):
    key = f"key-{rng.randrange(50)}"
    return Call("GET", f"/desk/{key}", key)


async def run_requests(fleet, count):
    urls = [daemon.url for daemon in fleet.daemons.values()]
    tally = await run_load(
        fleet.session, lambda: urls, choose_call, requests=count, connections=4
    )
    return tally


async def session(fleet):
    """Apply, route, drain a target under load, and stop; return the transcript."""
    lines = []
    service = TrialService("desk", 3)
    file = write_manifests(fleet.folder, [service])
    await fleet.start_platform()
    await fleet.start_targets([file], apart=True)
    lines.append(await run_ctl(fleet, "validate", str(file)))
    lines.append(await run_ctl(fleet, "apply", str(file)))
    lines.append(await run_ctl(fleet, "apply", str(file)))
    await fleet.start_daemons({"dc-a": 2})
    await fleet.wait_assigned("desk")
    tally = await run_requests(fleet, 300)
    lines.append(f"routed: {tally.answered} answered of {tally.sent}\n")
    change_target(file, "desk-3", leaving=True)
    lines.append(await run_ctl(fleet, "apply", "--diff", str(file)))
    tally = await run_requests(fleet, 600)
    lines.append(f"draining: {tally.answered} answered of {tally.sent}\n")
    await fleet.wait_assigned("desk")
    lines.append(await run_ctl(fleet, "status", "--wait"))
    lines.append(await run_ctl(fleet, "get", "target", "desk-3"))
    lines.append(await run_ctl(fleet, "delete", "Service", "desk"))
    journals = await fleet.journals()
    findings = check_journals(journals, [], [])
    lines.append(f"two owners: {len(findings.overlaps)}\n")
    before = len(journals[2]["runs"])
    tally = await run_requests(fleet, 300)
    after = len((await fleet.journals())[2]["runs"])
    lines.append(f"drained: {tally.answered} answered, {after - before} by desk-3\n")
    lines.append(await run_ctl(fleet, "delete", "Target", "desk-3"))
    tally = await run_requests(fleet, 300)
    lines.append(f"deleted: {tally.answered} answered of {tally.sent}\n")
    return lines


def test_apply_route_drain_and_stop(snapshot):
    async def run():
        async with open_fleet() as fleet:
            lines = await session(fleet)
            daemons = fleet.daemons.values()
            await fleet.close()
            for daemon in daemons:
                events = re.findall(r"event=(\w+)", daemon.log_file.read_text())
                stopped = events.count("stopped")
                lines.append(f"{daemon.vm} stopped {stopped} exit ")
                lines.append(f"{daemon.process.returncode}\n")
            return "".join(lines)

    assert asyncio.run(run()) == snapshot


def test_second_signal_ends_a_stopping_daemon_at_once():
    async def run():
        async with open_fleet() as fleet:
            await fleet.start_platform()
            await fleet.start_daemons({"dc-a": 1})
            (daemon,) = fleet.daemons.values()
            daemon.process.terminate()
            await asyncio.sleep(0.2)
            daemon.process.terminate()
            async with asyncio.timeout(0.3):
                return await daemon.process.wait()

    assert asyncio.run(run()) == -signal.SIGTERM


def test_a_daemon_ends_at_once_on_a_missing_settings_file_or_a_port_in_use(tmp_path):
    async def run():
        async with open_fleet() as fleet:
            await fleet.start_platform()
            daemon = fleet.add_daemon("vm-1", "dc-a")
            daemon.admin_port = fleet.platform_port
            await fleet.start_daemon(daemon)
            async with asyncio.timeout(10):
                assert await daemon.process.wait() == 3
            assert "address already in use" in daemon.log_file.read_text()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "peridot_daemon.main",
                f"--settings={tmp_path}/absent",
                stderr=subprocess.PIPE,
            )
            _, text = await process.communicate()
            assert process.returncode == 2
            assert b"No such file" in text

    asyncio.run(run())
