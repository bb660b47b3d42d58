"""Entry point of peridotd."""

import asyncio
import gc
import random
import signal
import sys
from pathlib import Path

from absl import app, flags
from aiomisc import entrypoint

from peridot_daemon.daemon import Daemon
from peridot_daemon.logs import BufferedLineHandler, LogbookDecisionLog, open_log
from peridot_daemon.settings import InvalidSettings, Settings, load_settings

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3
# Requests create few reference cycles, so the collector may run rarely.
GC_THRESHOLD = 50_000

OVERRIDABLE_SETTINGS = (
    "vm",
    "data_centre",
    "caller_listener",
    "peer_listener",
    "admin_listener",
    "object_api",
    "vm_list",
    "log_level",
)

flags.DEFINE_string("settings", "peridotd.jsonc", "Settings file.")
flags.DEFINE_bool("check", False, "Check the settings and exit.")
flags.DEFINE_float("log_sample", None, "Overrides the setting log_sample.")
for _name in OVERRIDABLE_SETTINGS:
    flags.DEFINE_string(_name, None, f"Overrides the setting {_name}.")


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    app.run(run)


def run(arguments: list[str]) -> int:
    """Run the daemon and return 0 (stopped), 2 (invalid settings) or 3 (no start)."""
    if len(arguments) > 1:
        print(f"peridotd: unknown argument {arguments[1]}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load_settings(Path(flags.FLAGS.settings), read_overrides())
    except InvalidSettings as error:
        print(f"peridotd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if flags.FLAGS.check:
        print("settings are valid")
        return 0
    gc.set_threshold(GC_THRESHOLD)
    with open_log(settings.log_level) as handler:
        return serve(settings, handler)


def read_overrides() -> dict[str, object]:
    """Return the settings that flags override."""
    names = (*OVERRIDABLE_SETTINGS, "log_sample")
    values = {name: flags.FLAGS[name].value for name in names}
    return {name: value for name, value in values.items() if value is not None}


def serve(settings: Settings, handler: BufferedLineHandler) -> int:
    """Run the daemon with settings; return the exit code."""
    log = LogbookDecisionLog(settings.vm, settings.log_sample, random.Random())
    daemon = Daemon(settings=settings, log=log, flush_log=handler.flush_periodically)
    try:
        with entrypoint(daemon, log_config=False) as loop:
            loop.run_until_complete(wait_for_signal())
            # A second signal ends the process without waiting for the graceful stop.
            loop.remove_signal_handler(signal.SIGTERM)
            loop.remove_signal_handler(signal.SIGINT)
    except OSError as error:
        log.write("start_failed", reason=error)
        print(f"peridotd: can't start: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    return 0


async def wait_for_signal() -> None:
    """Return on SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()


if __name__ == "__main__":
    main()
