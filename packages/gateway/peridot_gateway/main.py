"""Run a gateway process until it gets a signal to stop."""

import asyncio
import gc
import random
import sys
from collections.abc import Callable

from aiomisc import entrypoint

from peridot_daemon.logs import LogbookDecisionLog, open_log
from peridot_gateway.boundedlog import BoundedDecisionLog
from peridot_gateway.daemon import Gateway, PlatformAdapter
from peridot_gateway.settings import GatewaySettings
from peridot_gateway.signals import SignalInbox

EXIT_START_FAILED = 3
# Requests leave few reference cycles, so the garbage collector may run less often.
GC_THRESHOLD = 50_000


def serve(
    settings: GatewaySettings,
    adapter: PlatformAdapter,
    inbox: SignalInbox,
    log_level: str = "info",
) -> int:
    """Run a gateway with settings until a signal to stop; return the exit code."""
    # What the imports left stays until the process ends.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    with open_log(log_level) as handler:
        lines = LogbookDecisionLog(settings.vm, 1.0, random.Random())
        log = BoundedDecisionLog(lines)
        if inbox.stop_requested:
            log.write("stopped", during="start")
            return 0
        gateway = Gateway(
            settings=settings,
            adapter=adapter,
            log=log,
            flush_log=handler.flush_periodically,
        )
        try:
            # The handlers of aiomisc would replace those of the inbox.
            with entrypoint(gateway, log_config=False, catch_signals=()) as loop:
                loop.run_until_complete(handle_signals(inbox, gateway.reload))
        except OSError as error:
            log.write("start_failed", reason=error)
            print(f"peridotd: can't start: {error}", file=sys.stderr)
            return EXIT_START_FAILED
    return 0


async def handle_signals(inbox: SignalInbox, reload: Callable[[], None]) -> None:
    """Reload when it is requested; return when the process is to stop.

    Signals that came before this, and after it, are only recorded.
    """
    loop = asyncio.get_running_loop()
    received = asyncio.Event()
    inbox.notify = lambda: loop.call_soon_threadsafe(received.set)
    try:
        while not inbox.stop_requested:
            if inbox.take_reload():
                # An error in it doesn't end the process.
                loop.call_soon(reload)
            await received.wait()
            received.clear()
    finally:
        inbox.notify = None
