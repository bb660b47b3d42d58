"""Signals at each step of a gateway's start and stop, alone and in series.

Guards against the default action of a signal, which ends the process: SIGHUP in the
first half second, before its handler was installed, did.
"""

import signal
import subprocess
import sys

import orjson
import pytest

from peridot_fakes.fleet import free_ports
from peridot_fakes.site import BOUNDS

# Imports and functions, in the order in which a gateway reaches them.
START_STEPS = (
    "asyncio",
    "aiohttp",
    "load_settings",
    "_build",
    "_listen",
    "_add_gauges",
)
STOP_STEPS = ("stop", "graceful_shutdown", "exit")
ALL = "SIGHUP SIGTERM SIGINT SIGHUP SIGTERM"
TIMEOUT_S = 20.0
# Runs the gateway and sends signals to itself at the first import of a module, or the
# first call of a function, of a given name.
SCRIPT = """
import atexit, os, runpy, signal, sys
numbers = {step: names.split() for step, _, names in
           (word.partition("=") for word in sys.argv.pop(1).split(","))}
def reach(step):
    for name in numbers.pop(step, ()):
        os.kill(os.getpid(), signal.Signals[name])
class Finder:
    def find_spec(self, name, path=None, target=None):
        reach(name)
def trace(frame, event, arg):
    if event == "call" and frame.f_code.co_name in numbers:
        reach(frame.f_code.co_name)
sys.meta_path.insert(0, Finder())
def finish():
    reach("exit")
    print("unreached", *numbers, "end")
atexit.register(finish)
sys.setprofile(trace)
runpy.run_module("peridot_platform", run_name="__main__", alter_sys=True)
"""


@pytest.fixture
def run_gateway(tmp_path):
    def run(steps: dict[str, str], stop_when: str | None = None) -> tuple[int, str]:
        """Return the exit code and log of a gateway that signals itself at steps.

        It is stopped from outside when its log has a text.
        """
        ports = free_ports(5)
        settings = {
            "node": "vm-1",
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
            },
            "internalPortRange": [ports[2], ports[2]],
            "bounds": ["graceS=1", *BOUNDS[1:]],
            "platform": {"address": f"127.0.0.1:{ports[3]}"},
        }
        path = tmp_path / "vm-1.json"
        path.write_bytes(orjson.dumps(settings))
        plan = ",".join(f"{step}={names}" for step, names in steps.items())
        process = subprocess.Popen(
            [sys.executable, "-c", SCRIPT, plan, f"--metrics_port={ports[4]}"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={"PERIDOTPADDLE_BOOT": str(path)},
            text=True,
        )
        lines = []
        try:
            for line in process.stdout:
                lines.append(line)
                if stop_when and f"event={stop_when}" in line:
                    process.send_signal(signal.SIGTERM)
            return process.wait(TIMEOUT_S), "".join(lines)
        finally:
            process.kill()

    return run


def test_a_changed_settings_file_ends_no_gateway_that_starts_or_stops(run_gateway):
    steps = dict.fromkeys((*START_STEPS, *STOP_STEPS), "SIGHUP SIGHUP")
    code, log = run_gateway(steps, "started")
    assert (code, log.count("event=started")) == (0, 1), log
    assert "unreached end" in log and "Traceback" not in log


@pytest.mark.parametrize("step", START_STEPS)
@pytest.mark.parametrize("names", ["SIGTERM", ALL])
def test_a_stop_signal_in_the_start_ends_the_process_cleanly(run_gateway, step, names):
    code, log = run_gateway({step: names})
    assert code == 0, log
    assert "event=stopped" in log and "Traceback" not in log


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_further_signals_in_the_stop_change_nothing(run_gateway, first):
    steps = {"_add_gauges": first} | dict.fromkeys(STOP_STEPS, ALL)
    code, log = run_gateway(steps)
    assert code == 0, log
    assert "event=stopped" in log and "Traceback" not in log
