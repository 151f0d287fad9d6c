"""Tables, fitted lines and reports of the measurement commands.

A measurement is a module of this package with a function

    def measure(options: reports.Options) -> reports.Report

`cardamomfork measure NAME` runs it and prints what it returns.
"""

from __future__ import annotations

import statistics
import time

import attrs

REFERENCE_STEPS = 1_000_000


@attrs.frozen
class Options:
    """How to run a measurement.

    Attributes:
        smallest: Run only the smallest size, to check that the command works.
        seed: Seed of the random generators.
    """

    smallest: bool = False
    seed: int = 1


@attrs.frozen
class Table:
    """A table of text cells with a title."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def __str__(self) -> str:
        """Returns the table with aligned columns."""
        lines = [self.columns, *self.rows]
        widths = [
            max(len(cell) for cell in column)
            for column in zip(*lines, strict=True)
        ]
        body = [_format_row(line, widths) for line in lines]
        return "\n".join([self.title, *body])


@attrs.frozen
class Slope:
    """A line fitted to measured points.

    Attributes:
        quantity: The measured quantity, with its unit.
        size: The size that the quantity depends on, with its unit.
        points: (size, quantity) pairs as measured.
        bound: Upper bound of the quantity, or None.
        target_size: Size that the users require, or None.
    """

    quantity: str
    size: str
    points: tuple[tuple[float, float], ...]
    bound: float | None = None
    target_size: float | None = None

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the line, by least squares."""
        if len(self.points) < 2:
            x, y = self.points[0]
            return (y / x if x else 0.0), 0.0
        line = statistics.linear_regression(*zip(*self.points, strict=False))
        return line.slope, line.intercept

    @property
    def max_relative_error(self) -> float:
        """Largest relative error of the line at a point."""
        slope, intercept = self.fit
        expected = [(slope * x + intercept, y) for x, y in self.points]
        return max(abs(y - e) / max(abs(e), 1e-12) for e, y in expected)

    @property
    def at_target(self) -> float | None:
        """The quantity at the target size, from the line."""
        if self.target_size is None:
            return None
        slope, intercept = self.fit
        return slope * self.target_size + intercept

    @property
    def size_at_bound(self) -> float | None:
        """The size at which the line reaches the bound, or None."""
        slope, intercept = self.fit
        if self.bound is None or slope <= 0:
            return None
        return (self.bound - intercept) / slope

    def __str__(self) -> str:
        """Returns the points, the fit and the values derived from it."""
        slope, intercept = self.fit
        lines = [f"{self.quantity} by {self.size}"]
        lines += [f"  {x:>12g}  {y:.6g}" for x, y in self.points]
        lines.append(
            f"  fit: {slope:.6g} x size + {intercept:.6g}"
            f" (largest error {self.max_relative_error:.1%})"
        )
        if self.at_target is not None:
            lines.append(f"  at {self.target_size:g}: {self.at_target:.6g}")
        if self.size_at_bound is not None:
            lines.append(
                f"  bound {self.bound:g} reached at {self.size_at_bound:.6g}"
            )
        return "\n".join(lines)


@attrs.frozen
class Report:
    """The results of a measurement; its text includes the reference loop."""

    name: str
    parts: tuple[Table | Slope | str, ...]

    def __str__(self) -> str:
        """Returns the whole report as text."""
        head = (
            f"measure {self.name} (reference loop:"
            f" {reference_loop_ns():.1f} ns a step)"
        )
        return "\n\n".join([head, *map(str, self.parts)])


def _format_row(line: tuple[str, ...], widths: list[int]) -> str:
    """Returns a row of cells, each aligned to the right of its column."""
    cells = zip(line, widths, strict=True)
    return "  ".join(cell.rjust(width) for cell, width in cells)


def reference_loop_ns() -> float:
    """Returns the processor time of one step of a fixed loop, in ns.

    Figures from different machines are compared by their ratio to this time.
    """
    start = time.process_time_ns()
    checksum = 0
    for step in range(REFERENCE_STEPS):
        checksum += step & 7
    return (time.process_time_ns() - start) / REFERENCE_STEPS
