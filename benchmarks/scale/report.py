"""Tables and charts of results, with the growth law of each value and its prediction at the planned size."""

from __future__ import annotations

import math

from benchmarks.common import table
from benchmarks.scale.fit import Law, fit
from benchmarks.scale.line import FOLDER, Line, LineResults, Quantity


def law_of(line: Line, found: LineResults, quantity: Quantity) -> Law | None:
    """Return the law of a value; None if it was measured at fewer than two sizes."""
    sizes = sorted(found.runs)
    if len(sizes) < 2:
        return None
    return fit(sizes, [found.median(size, quantity.name) for size in sizes])


def page(line: Line, found: LineResults) -> str:
    """Render one line as a page in Markdown."""
    head = [line.size_of] + [f"{quantity.name}, {quantity.unit}" for quantity in line.quantities]
    rows = [
        [f"{size:,}"] + [_cell(found, size, quantity) for quantity in line.quantities] for size in sorted(found.runs)
    ]
    laws = []
    for quantity in line.quantities:
        law = law_of(line, found, quantity)
        if law is not None:
            laws.append(
                [
                    quantity.name,
                    law.shape,
                    law.formula(),
                    _ratio_text(law.r_squared),
                    _ratio_text(law.worst),
                    *_at_target(line, found, quantity, law),
                ]
            )
    law_head = ["value", "law", "formula", "R²", "worst residual", f"at {line.target:,}", "how far"]
    command = f"`python -m benchmarks.scale {line.name}`"
    return "\n".join(
        [
            f"# {line.title}",
            "",
            f"Taken on {found.commit}; {found.machine}. Again: {command}. Medians, with the least and the most of"
            f" {max(map(len, found.runs.values()))} runs where they differ.",
            "",
            line.note,
            "",
            table("Measured", head, rows, []),
            table("Laws", law_head, laws, []),
            f"![{line.title}]({line.name}.svg)",
            "",
        ]
    )


def _cell(found: LineResults, size: int, quantity: Quantity) -> str:
    least, most = found.spread(size, quantity.name)
    median = found.median(size, quantity.name)
    return f"{median:.4g}" if least == most else f"{median:.4g} ({least:.4g} to {most:.4g})"


def _ratio_text(value: float) -> str:
    return "-" if math.isnan(value) else f"{value:.3f}"


def _at_target(line: Line, found: LineResults, quantity: Quantity, law: Law) -> list[str]:
    largest = max(found.runs)
    if line.target in found.runs:
        return [f"{found.median(line.target, quantity.name):.4g}", "measured"]
    return [f"{law.at(line.target):.4g}", f"extrapolated {line.target / largest:.1f} times"]


def draw(line: Line, found: LineResults) -> None:
    """Draw each value against the size, beside the page. Needs matplotlib (``.[bench]``)."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "yardbank"  # the same figures give the same file
    count = len(line.quantities)
    figure, axes = pyplot.subplots(1, count, figsize=(3.2 * count, 2.6), squeeze=False)
    sizes = sorted(found.runs)
    for axis, quantity in zip(axes[0], line.quantities, strict=True):
        axis.plot(sizes, [found.median(size, quantity.name) for size in sizes], "o")
        law = law_of(line, found, quantity)
        if law is not None:
            steps = [sizes[0] + (sizes[-1] - sizes[0]) * step / 50 for step in range(51)]
            axis.plot(steps, [law.at(size) for size in steps], linewidth=0.8)
        axis.set_title(quantity.name, fontsize=8)
        axis.set_ylabel(quantity.unit, fontsize=7)
        axis.set_xlabel(line.size_of, fontsize=7)
        axis.tick_params(labelsize=6)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(FOLDER / f"{line.name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def write(line: Line, found: LineResults, charts: bool = True) -> None:
    """Write the page and the chart of a line."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{line.name}.md").write_text(page(line, found))
    if charts:
        draw(line, found)
