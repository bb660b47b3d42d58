"""Command line of peridotctl."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import orjson
from absl import app, flags
from aiohttp import ClientError, ClientSession

from peridot_ctl import porcelain
from peridot_ctl.errors import (
    ActionOutcome,
    Applied,
    Conflicted,
    InvalidReply,
    OutcomeUnknown,
)
from peridot_ctl.reports import format_report, make_report, plot_report
from peridot_ctl.tables import (
    format_change,
    format_check,
    format_json,
    format_objects,
    format_status,
)
from peridot_objects.connections import open_session
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import StoreUnavailable
from peridot_resources.catalog import CONFIGURATION_KINDS
from peridot_resources.errors import InvalidManifests
from peridot_resources.findings import ERROR

EXIT_OK = 0
EXIT_INVALID = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
EXIT_NOT_IN_FORCE = 6
# Exit codes of check, which has its own.
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
EXIT_STATE_UNREADABLE = 3

USAGE = """peridotctl [flags] COMMAND [arguments]

commands:
  validate FILE...        check manifests without the object API
  check FILE...           find errors, entries that never match and contradictory
                          limits (--json); --against the stored state also what differs
  apply FILE...           store manifests (--dry_run, --diff)
  get KIND [NAME]         show resources (--output=table|json)
  watch [KIND]            print resources, then each change
  delete KIND NAME        remove a resource that no other refers to
  status                  show which configuration is in force (--wait, --timeout_s)
  explain SERVICE KEY     show where a key's requests go and why (--admin)
  report                  imbalance, churn and unavailable time over --window_s,
                          from the daemons in --admins (--plot for bars)

kinds: Service, Target, RoutingPolicy

exit codes: 0 success, 1 invalid manifest or nothing found, 2 wrong usage,
3 conflicting change by another operator, 4 request refused, object API or daemon
unavailable, 5 outcome unknown, 6 not in force in time
exit codes of check: 0 nothing found, 1 warnings only, 2 errors or wrong usage,
3 the stored state can't be read; differences don't change them
"""

flags.DEFINE_string("object_api", "http://127.0.0.1:6000", "URL of the object API.")
flags.DEFINE_string("admin", "http://127.0.0.1:7080", "URL of a daemon's admin pages.")
flags.DEFINE_enum("output", "table", ("table", "json"), "Output format.")
flags.DEFINE_bool("json", False, "Print the results of check as JSON.")
flags.DEFINE_bool("against", False, "Check against the state in the object API.")
flags.DEFINE_bool("dry_run", False, "Show what apply would do; store nothing.")
flags.DEFINE_bool("diff", False, "Show the changed lines of each resource.")
flags.DEFINE_bool("wait", False, "Wait until the accepted revision is in force.")
flags.DEFINE_list("admins", [], "URLs of all daemons' admin pages.")
flags.DEFINE_float("window_s", 10.0, "Window of the report (s).")
flags.DEFINE_bool("plot", False, "Plot responses by target; needs plotext.")
flags.DEFINE_float("timeout_s", 11.0, "Timeout of status --wait (s).")


@dataclass(frozen=True)
class CommandContext:
    """The object store and the HTTP session that commands use."""

    store: ObjectStore
    session: ClientSession


class UsageError(Exception):
    """Raised for arguments that a command doesn't accept."""


def main() -> None:
    """Run the command line."""
    app.usage = lambda *args, **kwargs: print(USAGE)
    app.run(run, flags_parser=parse_flags)


def parse_flags(argv: list[str]) -> list[str]:
    """Return the arguments that aren't flags; exit for --help and invalid flags."""
    if "--help" in argv or "-h" in argv:
        print(USAGE)
        print(flags.FLAGS.main_module_help())
        sys.exit(EXIT_OK)
    try:
        return flags.FLAGS(argv)
    except flags.Error as error:
        print(f"peridotctl: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def run(argv: list[str]) -> int:
    """Run the command that the arguments name; return its exit code."""
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    try:
        return asyncio.run(run_command(command, argv[2:]))
    except UsageError as error:
        print(f"peridotctl {argv[1]}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except InvalidManifests as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except (ClientError, OSError, InvalidReply) as error:
        print(f"peridotctl: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    except KeyboardInterrupt:
        return EXIT_OK


async def run_command(
    command: Callable[[CommandContext, list[str]], Awaitable[int]], arguments: list[str]
) -> int:
    """Run a command with a store and a session; return its exit code."""
    async with open_session(force_close=True) as session:
        store = HttpObjectStore(session, flags.FLAGS.object_api)
        return await command(CommandContext(store, session), arguments)


async def run_validate(context: CommandContext, arguments: list[str]) -> int:
    """Check manifests without the object API."""
    manifests = porcelain.validate(parse_paths(arguments))
    print(f"{len(manifests)} manifests are valid")
    return EXIT_OK


async def run_check(context: CommandContext, arguments: list[str]) -> int:
    """Show faults of manifests and how they differ from the stored state."""
    result, failure = await porcelain.check(
        context.store, parse_paths(arguments), flags.FLAGS.against
    )
    if flags.FLAGS.json:
        print(orjson.dumps(result).decode())
    else:
        print(format_check(result))
    if failure is not None:
        report_unavailable(failure)
        return EXIT_STATE_UNREADABLE
    if any(finding.severity == ERROR for finding in result.findings):
        return EXIT_ERRORS
    return EXIT_WARNINGS if result.findings else EXIT_OK


async def run_apply(context: CommandContext, arguments: list[str]) -> int:
    """Store manifests."""
    outcomes = await porcelain.apply(
        context.store, parse_paths(arguments), flags.FLAGS.dry_run
    )
    for outcome in outcomes:
        print_outcome(outcome)
    if not outcomes:
        print("nothing is declared")
    return worst_exit_code(outcomes)


async def run_get(context: CommandContext, arguments: list[str]) -> int:
    """Show resources."""
    if not 1 <= len(arguments) <= 2:
        raise UsageError("expected a kind and optionally a name")
    name = arguments[1] if len(arguments) == 2 else None
    objects = await porcelain.get(context.store, parse_kinds(arguments[0]), name)
    if isinstance(objects, StoreUnavailable):
        return report_unavailable(objects)
    view = await porcelain.status(context.store)
    if isinstance(view, StoreUnavailable):
        return report_unavailable(view)
    format_found = format_json if flags.FLAGS.output == "json" else format_objects
    print(format_found(objects, view))
    return EXIT_OK if objects or name is None else EXIT_INVALID


async def run_watch(context: CommandContext, arguments: list[str]) -> int:
    """Print resources, then each change until interrupted."""
    kinds = parse_kinds(arguments[0]) if arguments else sorted(CONFIGURATION_KINDS)
    async for change in porcelain.watch(context.store, kinds):
        print(format_change(change), flush=True)
    return EXIT_OK


async def run_delete(context: CommandContext, arguments: list[str]) -> int:
    """Remove a resource."""
    if len(arguments) != 2:
        raise UsageError("expected a kind and a name")
    (kind,) = parse_kinds(arguments[0])
    outcome = await porcelain.delete(context.store, kind, arguments[1])
    print_outcome(outcome)
    return worst_exit_code([outcome])


async def run_status(context: CommandContext, arguments: list[str]) -> int:
    """Show which configuration is in force, or wait until the newest one is."""
    if flags.FLAGS.wait:
        behind = await porcelain.wait_in_force(context.store, flags.FLAGS.timeout_s)
        print("\n".join(f"behind: {item}" for item in behind) or "in force everywhere")
        return EXIT_NOT_IN_FORCE if behind else EXIT_OK
    view = await porcelain.status(context.store)
    if isinstance(view, StoreUnavailable):
        return report_unavailable(view)
    if flags.FLAGS.output == "json":
        print(orjson.dumps(view, option=orjson.OPT_INDENT_2).decode())
    else:
        print(format_status(view))
    return EXIT_OK


async def run_explain(context: CommandContext, arguments: list[str]) -> int:
    """Show where a daemon sends a key's requests, and why."""
    if len(arguments) != 2:
        raise UsageError("expected a service and a key")
    answer = await porcelain.explain(context.session, flags.FLAGS.admin, *arguments)
    print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
    return EXIT_INVALID if "error" in answer else EXIT_OK


async def run_report(context: CommandContext, arguments: list[str]) -> int:
    """Show imbalance, churn and unavailable time over a window."""
    urls = flags.FLAGS.admins or [flags.FLAGS.admin]
    report = await make_report(context.session, urls, flags.FLAGS.window_s)
    print(format_report(report))
    if flags.FLAGS.plot:
        print(plot_report(report))
    return EXIT_OK


def parse_paths(arguments: list[str]) -> list[Path]:
    """Return the paths of files; raise UsageError if there are none."""
    if not arguments:
        raise UsageError("expected at least one file")
    return [Path(argument) for argument in arguments]


def parse_kinds(name: str) -> list[str]:
    """Return a list of the kind with a name in any case.

    Raises UsageError if there is no such kind.
    """
    kinds = [kind for kind in CONFIGURATION_KINDS if kind.lower() == name.lower()]
    if not kinds:
        raise UsageError(f"unknown kind {name}")
    return kinds


def print_outcome(outcome: ActionOutcome) -> None:
    """Print an outcome as one line, then its difference on a conflict or by flag."""
    match outcome:
        case Applied(kind, name, action, _, difference):
            print(f"{kind}/{name} {action}")
            if difference and (flags.FLAGS.diff or flags.FLAGS.dry_run):
                print(difference)
        case Conflicted(kind, name, difference):
            print(f"{kind}/{name} not changed: conflicts with a concurrent change")
            print(difference)
        case _:
            status = "unknown" if isinstance(outcome, OutcomeUnknown) else "failed"
            print(f"{outcome.kind}/{outcome.name} {status}: {outcome.reason}")


def worst_exit_code(outcomes: list[ActionOutcome]) -> int:
    """Return the highest exit code among outcomes, success if there are none."""
    codes = {Applied: EXIT_OK, Conflicted: EXIT_CONFLICT, OutcomeUnknown: EXIT_UNKNOWN}
    return max(
        (codes.get(type(outcome), EXIT_UNAVAILABLE) for outcome in outcomes),
        default=EXIT_OK,
    )


def report_unavailable(outcome: StoreUnavailable) -> int:
    """Print why the object API is unavailable; return the exit code."""
    print(f"object API: {outcome.reason}", file=sys.stderr)
    return EXIT_UNAVAILABLE


COMMANDS: dict[str, Callable[[CommandContext, list[str]], Awaitable[int]]] = {
    "validate": run_validate,
    "check": run_check,
    "apply": run_apply,
    "get": run_get,
    "watch": run_watch,
    "delete": run_delete,
    "status": run_status,
    "explain": run_explain,
    "report": run_report,
}

if __name__ == "__main__":
    main()
