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
from peridot_ctl.errors import ActionOutcome, Applied, Raced, Uncertain
from peridot_ctl.reports import format_report, make_report, plot_report
from peridot_ctl.tables import (
    format_change,
    format_json,
    format_objects,
    format_status,
)
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import StoreUnavailable
from peridot_resources.catalog import CONFIGURATION_KINDS
from peridot_resources.errors import InvalidManifests

EXIT_OK = 0
EXIT_INVALID = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNCERTAIN = 5
EXIT_BEHIND = 6

USAGE = """peridotctl [flags] COMMAND [arguments]

commands:
  validate FILE...        check manifests without storing them
  apply FILE...           store manifests (--dry_run, --diff)
  get KIND [NAME]         show resources (--output=table|json)
  watch [KIND]            print resources and each change
  delete KIND NAME        remove a resource that no other uses
  status                  show what is in force (--wait, --timeout_s)
  explain SERVICE KEY     show where a key goes (--admin)
  report                  imbalance, churn and unavailable time over --window_s,
                          from the daemons in --admins (--plot for bars)

kinds: Service, Target, RoutingPolicy

exit codes: 0 done, 1 invalid manifest, 2 wrong usage, 3 another operator was
first, 4 object API away or refusing, 5 outcome unknown, 6 not in force in time
"""

flags.DEFINE_string("object_api", "http://127.0.0.1:6000", "URL of the object API.")
flags.DEFINE_string("admin", "http://127.0.0.1:7080", "URL of a daemon's admin side.")
flags.DEFINE_enum("output", "table", ("table", "json"), "How to print resources.")
flags.DEFINE_bool("dry_run", False, "Show what apply would do.")
flags.DEFINE_bool("diff", False, "Show the lines that apply changes.")
flags.DEFINE_bool("wait", False, "Wait until the accepted revision is in force.")
flags.DEFINE_list("admins", [], "URLs of all daemons' admin sides.")
flags.DEFINE_float("window_s", 10.0, "Window of the report (s).")
flags.DEFINE_bool("plot", False, "Plot answers by target; needs plotext.")
flags.DEFINE_float("timeout_s", 11.0, "Longest wait of status --wait (s).")


@dataclass(frozen=True)
class Context:
    """Hold what commands work with."""

    store: ObjectStore
    session: ClientSession


class WrongUsage(Exception):
    """Report arguments that a command can't take."""


def main() -> None:
    """Run one command."""
    app.usage = lambda *args, **kwargs: print(USAGE)
    app.run(run, flags_parser=parse_flags)


def parse_flags(argv: list[str]) -> list[str]:
    """Return the arguments; print the usage for --help and for unknown flags."""
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
    """Return the exit code of a command."""
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    try:
        return asyncio.run(run_command(command, argv[2:]))
    except WrongUsage as error:
        print(f"peridotctl {argv[1]}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except InvalidManifests as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except (ClientError, OSError) as error:
        print(f"peridotctl: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    except KeyboardInterrupt:
        return EXIT_OK


async def run_command(
    command: Callable[[Context, list[str]], Awaitable[int]], arguments: list[str]
) -> int:
    """Run a command against the object API."""
    async with ClientSession() as session:
        store = HttpObjectStore(session, flags.FLAGS.object_api)
        return await command(Context(store, session), arguments)


async def run_validate(context: Context, arguments: list[str]) -> int:
    """Check manifests offline."""
    manifests = porcelain.validate(to_files(arguments))
    print(f"{len(manifests)} manifests are valid")
    return EXIT_OK


async def run_apply(context: Context, arguments: list[str]) -> int:
    """Store manifests."""
    outcomes = await porcelain.apply(
        context.store, to_files(arguments), flags.FLAGS.dry_run
    )
    for outcome in outcomes:
        print_outcome(outcome)
    return worst_exit_code(outcomes)


async def run_get(context: Context, arguments: list[str]) -> int:
    """Show resources."""
    if not 1 <= len(arguments) <= 2:
        raise WrongUsage("give a kind, and a name if only one is wanted")
    name = arguments[1] if len(arguments) == 2 else None
    found = await porcelain.get(context.store, to_kinds(arguments[0]), name)
    if isinstance(found, StoreUnavailable):
        return report_unavailable(found)
    view = await porcelain.status(context.store)
    if isinstance(view, StoreUnavailable):
        return report_unavailable(view)
    show = format_json if flags.FLAGS.output == "json" else format_objects
    print(show(found, view))
    return EXIT_OK if found or name is None else EXIT_INVALID


async def run_watch(context: Context, arguments: list[str]) -> int:
    """Print resources and changes until interrupted."""
    kinds = to_kinds(arguments[0]) if arguments else sorted(CONFIGURATION_KINDS)
    async for change in porcelain.watch(context.store, kinds):
        print(format_change(change), flush=True)
    return EXIT_OK


async def run_delete(context: Context, arguments: list[str]) -> int:
    """Remove a resource."""
    if len(arguments) != 2:
        raise WrongUsage("give a kind and a name")
    (kind,) = to_kinds(arguments[0])
    outcome = await porcelain.delete(context.store, kind, arguments[1])
    print_outcome(outcome)
    return worst_exit_code([outcome])


async def run_status(context: Context, arguments: list[str]) -> int:
    """Show or await what is in force."""
    if flags.FLAGS.wait:
        behind = await porcelain.wait_in_force(context.store, flags.FLAGS.timeout_s)
        print("\n".join(f"behind: {item}" for item in behind) or "in force everywhere")
        return EXIT_BEHIND if behind else EXIT_OK
    view = await porcelain.status(context.store)
    if isinstance(view, StoreUnavailable):
        return report_unavailable(view)
    if flags.FLAGS.output == "json":
        print(orjson.dumps(view, option=orjson.OPT_INDENT_2).decode())
    else:
        print(format_status(view))
    return EXIT_OK


async def run_explain(context: Context, arguments: list[str]) -> int:
    """Show where a key goes."""
    if len(arguments) != 2:
        raise WrongUsage("give a service and a key")
    found = await porcelain.explain(context.session, flags.FLAGS.admin, *arguments)
    print(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())
    return EXIT_INVALID if "error" in found else EXIT_OK


async def run_report(context: Context, arguments: list[str]) -> int:
    """Show the three measures over a window."""
    urls = flags.FLAGS.admins or [flags.FLAGS.admin]
    report = await make_report(context.session, urls, flags.FLAGS.window_s)
    print(format_report(report))
    if flags.FLAGS.plot:
        print(plot_report(report))
    return EXIT_OK


def to_files(arguments: list[str]) -> list[Path]:
    """Return the files named; raise WrongUsage if there are none."""
    if not arguments:
        raise WrongUsage("give at least one file")
    return [Path(argument) for argument in arguments]


def to_kinds(word: str) -> list[str]:
    """Return the kind that a word names, in any case; raise WrongUsage."""
    found = [kind for kind in CONFIGURATION_KINDS if kind.lower() == word.lower()]
    if not found:
        raise WrongUsage(f"no kind named {word}")
    return found


def print_outcome(outcome: ActionOutcome) -> None:
    """Print an outcome as one line, and its difference if asked for."""
    match outcome:
        case Applied(kind, name, action, _, difference):
            print(f"{kind}/{name} {action}")
            if difference and (flags.FLAGS.diff or flags.FLAGS.dry_run):
                print(difference)
        case Raced(kind, name, difference):
            print(f"{kind}/{name} not changed: another operator was first")
            print(difference)
        case _:
            word = "unknown" if isinstance(outcome, Uncertain) else "failed"
            print(f"{outcome.kind}/{outcome.name} {word}: {outcome.reason}")


def worst_exit_code(outcomes: list[ActionOutcome]) -> int:
    """Return the exit code for a set of outcomes."""
    codes = {Applied: EXIT_OK, Raced: EXIT_CONFLICT, Uncertain: EXIT_UNCERTAIN}
    return max(codes.get(type(item), EXIT_UNAVAILABLE) for item in outcomes)


def report_unavailable(outcome: StoreUnavailable) -> int:
    """Print that the object API is away; return the exit code."""
    print(f"object API: {outcome.reason}", file=sys.stderr)
    return EXIT_UNAVAILABLE


COMMANDS: dict[str, Callable[[Context, list[str]], Awaitable[int]]] = {
    "validate": run_validate,
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
