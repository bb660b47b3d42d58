"""Run a gateway process until it gets a signal to stop."""

import asyncio
import gc
import random
import signal
import sys

from aiomisc import entrypoint

from peridot_daemon.logs import LogbookDecisionLog, open_log
from peridot_gateway.boundedlog import BoundedDecisionLog
from peridot_gateway.daemon import Gateway, PlatformAdapter
from peridot_gateway.settings import GatewaySettings

EXIT_START_FAILED = 3
# Requests leave few reference cycles, so the garbage collector may run less often.
GC_THRESHOLD = 50_000


def serve(
    settings: GatewaySettings, adapter: PlatformAdapter, log_level: str = "info"
) -> int:
    """Run a gateway with settings; return the exit code."""
    gc.set_threshold(GC_THRESHOLD)
    with open_log(log_level) as handler:
        lines = LogbookDecisionLog(settings.vm, 1.0, random.Random())
        log = BoundedDecisionLog(lines)
        gateway = Gateway(
            settings=settings,
            adapter=adapter,
            log=log,
            flush_log=handler.flush_periodically,
        )
        try:
            with entrypoint(gateway, log_config=False) as loop:
                loop.add_signal_handler(signal.SIGHUP, gateway.reload)
                loop.run_until_complete(wait_for_stop())
        except OSError as error:
            log.write("start_failed", reason=error)
            print(f"peridotd: can't start: {error}", file=sys.stderr)
            return EXIT_START_FAILED
    return 0


async def wait_for_stop() -> None:
    """Return when the process gets a signal to stop."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
