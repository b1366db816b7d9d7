"""Least squares over a few terms, weighted so that each point's relative error counts alike.

A fit gives values for sizes that were not measured.
"""

from dataclasses import dataclass

TERMS = {"1": lambda n: 1.0, "n": lambda n: float(n), "n^2": lambda n: float(n) * n}
LAWS = (("1", "n"), ("1", "n", "n^2"))
CLOSE = 0.1


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted law.

    Attributes:
        terms: The terms of the law, as in TERMS.
        slopes: The coefficient of each term.
        residual: The largest relative error of the points that it was made from.
    """

    terms: tuple[str, ...]
    slopes: tuple[float, ...]
    residual: float

    def at(self, n: float) -> float:
        """The value that the fit gives for n."""
        return sum(
            slope * TERMS[term](n) for term, slope in zip(self.terms, self.slopes, strict=False)
        )

    def text(self) -> str:
        """The terms with their slopes."""
        return " + ".join(
            f"{slope:.3g}" if term == "1" else f"{slope:.3g} {term}"
            for term, slope in zip(self.terms, self.slopes, strict=False)
        )


def solved(rows, right):
    """Gauss, with the largest pivot."""
    rows = [[*row, value] for row, value in zip(rows, right, strict=False)]
    for column in range(len(rows)):
        pivot = max(range(column, len(rows)), key=lambda number: abs(rows[number][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        if not rows[column][column]:
            raise ValueError("too few different sizes for this law")
        rows[column] = [value / rows[column][column] for value in rows[column]]
        rows = [
            row
            if number == column
            else [
                value - row[column] * lead for value, lead in zip(row, rows[column], strict=False)
            ]
            for number, row in enumerate(rows)
        ]
    return [row[-1] for row in rows]


class Fitter:
    """Fits a line; a square term is added only if the line misses a point by more than CLOSE."""

    def fit(self, points) -> Fit:
        """points: (n, value), more of them than terms."""
        straight = self.fit_law(points, LAWS[0])
        if straight.residual <= CLOSE or len(points) <= len(LAWS[1]):
            return straight
        bent = self.fit_law(points, LAWS[1])
        return bent if bent.residual < straight.residual and bent.slopes[-1] > 0 else straight

    def fit_law(self, points, terms) -> Fit:
        """The fit of one law to points (n, value); ValueError for too few different sizes."""
        weighed = [
            ([TERMS[term](n) / value for term in terms], 1.0) for n, value in points if value
        ]
        if not weighed:
            return Fit(terms, (0.0,) * len(terms), 0.0)
        scale = [max(abs(row[number]) for row, _ in weighed) or 1.0 for number in range(len(terms))]
        weighed = [
            ([value / size for value, size in zip(row, scale, strict=False)], right)
            for row, right in weighed
        ]
        rows = [
            [sum(row[a] * row[b] for row, _ in weighed) for b in range(len(terms))]
            for a in range(len(terms))
        ]
        slopes = tuple(
            slope / size
            for slope, size in zip(
                solved(
                    rows, [sum(row[a] * right for row, right in weighed) for a in range(len(terms))]
                ),
                scale,
                strict=False,
            )
        )
        fit = Fit(terms, slopes, 0.0)
        return Fit(
            terms, slopes, max(abs(fit.at(n) - value) / abs(value) for n, value in points if value)
        )
