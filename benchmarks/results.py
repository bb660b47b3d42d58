"""Lines that tell a measured value, its bound and the verdict."""

from dataclasses import dataclass, field


@dataclass
class Results:
    """Print results as they come and count the failed ones."""

    failed: int = 0
    lines: list[str] = field(default_factory=list)

    def at_most(self, name: str, value: float, unit: str, bound: float) -> None:
        """Report a value that must not exceed its bound."""
        self._report(name, value, unit, bound, value <= bound)

    def at_least(self, name: str, value: float, unit: str, bound: float) -> None:
        """Report a value that must reach its bound."""
        self._report(name, value, unit, bound, value >= bound)

    def note(self, name: str, value: float, unit: str) -> None:
        """Report a value that has no bound."""
        print(f"note {name} {value:.4g} {unit}", flush=True)

    def _report(
        self, name: str, value: float, unit: str, bound: float, holds: bool
    ) -> None:
        verdict = "PASS" if holds else "FAIL"
        self.failed += not holds
        line = f"measure {name} {value:.4g} {unit} {bound:g} {verdict}"
        self.lines.append(line)
        print(line, flush=True)
