"""Printing of measured values, their bounds and whether they pass."""

from dataclasses import dataclass, field


@dataclass
class Results:
    """Print each result at once and count those that fail their bounds."""

    failed: int = 0
    lines: list[str] = field(default_factory=list)

    def at_most(self, name: str, value: float, unit: str, bound: float) -> None:
        """Print a value that must not exceed its bound."""
        self._print_result(name, value, unit, bound, value <= bound)

    def at_least(self, name: str, value: float, unit: str, bound: float) -> None:
        """Print a value that must reach its bound."""
        self._print_result(name, value, unit, bound, value >= bound)

    def note(self, name: str, value: float, unit: str) -> None:
        """Print a value that has no bound."""
        print(f"note {name} {value:.4g} {unit}", flush=True)

    def _print_result(
        self, name: str, value: float, unit: str, bound: float, passed: bool
    ) -> None:
        verdict = "PASS" if passed else "FAIL"
        self.failed += not passed
        line = f"measure {name} {value:.4g} {unit} {bound:g} {verdict}"
        self.lines.append(line)
        print(line, flush=True)
