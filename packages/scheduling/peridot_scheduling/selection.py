"""Selection of a target by the expected finish of a request."""

from collections.abc import Sequence
from dataclasses import dataclass

# A target in another data centre must finish sooner by this factor: traffic between
# data centres is expensive, and local targets stay reachable if the data centre is cut
# off.
REMOTE_FACTOR = 1.3
# While the best local target is expected to finish within this share of the time left
# for the objective, callers gain nothing elsewhere. Processing times vary, so the rest
# is a margin.
OBJECTIVE_SHARE = 0.5


@dataclass(frozen=True)
class Candidate:
    """A target that a request may be sent to."""

    name: str
    local: bool
    # Expected time until the request is finished (s).
    finish_s: float
    # Times the expected finish, for targets that fail, warm up or have less room.
    penalty: float = 1.0

    @property
    def cost(self) -> float:
        """Return the expected finish with the penalty (s)."""
        return self.finish_s * self.penalty


def expected_wait_s(work_s: float, in_flight: int, slots: int, speed: float) -> float:
    """Return how long a new request waits for a slot (s).

    The work (s) of the requests in flight is spread over them evenly; only those beyond
    the free slots are waited for.
    """
    slots = max(1, slots)
    ahead = in_flight - slots + 1
    if ahead <= 0 or in_flight <= 0:
        return 0.0
    return ahead * work_s / in_flight / slots / speed


def select(
    candidates: Sequence[Candidate], objective_left_s: float | None = None
) -> Candidate | None:
    """Return the target to send a request to, None without candidates.

    The best local target is taken if it is expected to finish well within the time left
    for the objective (s), and otherwise unless the best remote one is clearly sooner.
    """
    local = min(
        (item for item in candidates if item.local),
        key=lambda item: item.cost,
        default=None,
    )
    remote = min(
        (item for item in candidates if not item.local),
        key=lambda item: item.cost,
        default=None,
    )
    if local is None or remote is None:
        return local or remote
    if objective_left_s is not None:
        if local.cost <= OBJECTIVE_SHARE * objective_left_s:
            return local
    return remote if remote.cost * REMOTE_FACTOR < local.cost else local
