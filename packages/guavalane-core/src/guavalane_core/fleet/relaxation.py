"""Linear programs solved by the dual simplex method with lazy constraints."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

Row = Sequence[float]
EPSILON = 1e-9
# Limit of pivots per solution and of solutions per program. A few hundred
# pivots suffice for 36 capacity pools.
MAX_PIVOTS = 2_000


class LinearProgram:
    """Minimises a linear objective over non-negative variables.

    Only violated constraints `row x >= bound` are added, and the dual simplex
    method restores the optimum after each addition. Of a few hundred scenarios,
    only the binding ones enter the tableau.

    Args:
      prices: Objective coefficient of each variable, at least 0.
    """

    def __init__(self, prices: Sequence[float]) -> None:
        self._size = len(prices)
        self._reduced_costs = list(prices)
        # Indices of variables; slack variables follow the structural ones.
        self._nonbasic = list(range(self._size))
        self._basic: list[int] = []
        # Value of each basic variable, and its coefficients in terms of the
        # non-basic variables.
        self._values: list[float] = []
        self._rows: list[list[float]] = []
        self._next_variable = self._size

    def solution(self) -> list[float]:
        """Returns the value of each variable at the current optimum."""
        found = [0.0] * self._size
        for variable, value in zip(self._basic, self._values, strict=True):
            if variable < self._size:
                found[variable] = value
        return found

    def add(self, row: Row, bound: float) -> None:
        """Adds a constraint without reoptimising."""
        coefficients = [
            row[variable] if variable < self._size else 0.0
            for variable in self._nonbasic
        ]
        value = -bound
        for i, variable in enumerate(self._basic):
            factor = row[variable] if variable < self._size else 0.0
            if factor:
                value += factor * self._values[i]
                coefficients = [
                    c + factor * a
                    for c, a in zip(coefficients, self._rows[i], strict=True)
                ]
        self._basic.append(self._next_variable)
        self._next_variable += 1
        self._values.append(value)
        self._rows.append(coefficients)

    def reoptimise(self) -> bool:
        """Restores the optimum; returns False if none is found."""
        for _ in range(MAX_PIVOTS):
            leaving = min(
                range(len(self._values)), key=self._values.__getitem__
            )
            if self._values[leaving] >= -EPSILON:
                return True
            row = self._rows[leaving]
            entering = min(
                (j for j, a in enumerate(row) if a > EPSILON),
                key=lambda j: self._reduced_costs[j] / row[j],
                default=None,
            )
            if entering is None:
                return False
            self._pivot(leaving, entering)
        return False

    def _pivot(self, leaving: int, entering: int) -> None:
        row = self._rows[leaving]
        pivot = row[entering]
        # Expresses the entering variable in terms of the leaving variable and
        # the other non-basic variables.
        value = -self._values[leaving] / pivot
        solved = [-a / pivot for a in row]
        solved[entering] = 1 / pivot
        for i, other in enumerate(self._rows):
            factor = other[entering]
            if i != leaving and factor:
                other[entering] = 0.0
                self._values[i] += factor * value
                self._rows[i] = [
                    a + factor * s for a, s in zip(other, solved, strict=True)
                ]
        factor, self._reduced_costs[entering] = (
            self._reduced_costs[entering],
            0.0,
        )
        self._reduced_costs = [
            c + factor * s
            for c, s in zip(self._reduced_costs, solved, strict=True)
        ]
        self._values[leaving] = value
        self._rows[leaving] = solved
        self._basic[leaving], self._nonbasic[entering] = (
            self._nonbasic[entering],
            self._basic[leaving],
        )


def minimise(
    prices: Sequence[float],
    violated: Callable[[list[float]], list[tuple[Row, float]]],
) -> Iterator[list[float] | None]:
    """Yields intermediate solutions until no constraint is violated.

    The last value is the optimum, or None if none is found. The caller may
    pause between two values.

    Args:
      prices: Objective coefficient of each variable.
      violated: Returns some of the constraints that a solution violates.
    """
    program = LinearProgram(prices)
    found = program.solution()
    yield found
    for _ in range(MAX_PIVOTS):
        constraints = violated(found)
        if not constraints:
            return
        for row, bound in constraints:
            program.add(row, bound)
        if not program.reoptimise():
            break
        found = program.solution()
        yield found
    yield None
