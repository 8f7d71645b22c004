"""Writes docs/CAPACITY.md and the plots in docs/capacity/ from measured slopes.

usage: capacity_page.py SLOPES.json PAGE.md PLOTS_FOLDER
"""

import json
import pathlib
import subprocess
import sys

from capacity_model import Model, roles

SUMMARY = """# Capacity at the target size

This page is written by `scripts/measure capacity --write` from slopes that the same command measures; don't edit it.
`docs/capacity/slopes.json` holds the measured points. Processor time is measured in reference units (1,000 XXH3
hashes of 64 bytes) in the same run and turned into time with {reference_us:.2f} us a unit, the speed of the machine of
that run; memory, bytes and messages are counted.

## Target

{target_table}

From these follow, for each data centre, {members:.0f} entry instances, {targets:.0f} targets and {addresses:.0f}
addresses; for each entry instance {flows:.0f} open flows and {new_flows:.0f} new ones a second.

## Control of one entry instance

{control_table}

"Ratio" is the figure over the limit; above 1 the limit is missed.

## Roles

{role_sections}

## Measured slopes

A line is fitted by least squares; the fit error is the largest distance of a point from the line over the largest
value. Where the fit error is above 0.1 the cost isn't linear in the size, and the figures above use the next larger
measured point in place of the line.

{slope_table}

{plots}

## What is over its limit, and what isn't measured

{open_points}
"""


def table(header, rows):
    """Returns a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def number(value):
    """Returns a number in three significant digits without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.6f}"


def figure_rows(figures):
    """Returns table rows of figures, with the ratio to the limit where there is one."""
    rows = []
    for it in figures:
        limit = f"{number(it.limit)} {it.unit}" if it.limit else "none stated"
        ratio = number(it.value / it.limit) if it.limit else ""
        rows.append([it.name, f"{number(it.value)} {it.unit}", limit, ratio, it.basis])
    return rows


def role_section(role):
    """Returns the section of one role."""
    header = ["cost", "figure", "limit", "ratio", "worked out from"]
    return "\n\n".join([
        f"### {role.name}",
        f"State: {role.state}",
        f"Messages: {role.messages}",
        f"Mechanism: {role.mechanism}",
        table(header, figure_rows(role.figures)),
        f"When the size doubles: {role.doubling}",
    ])


def plot(slope, folder, limit):
    """Draws the points, the fitted line and the limit of one slope with gnuplot."""
    name = slope["name"]
    points = "\n".join(f"{x} {y}" for x, y in slope["points"])
    least = min(x for x, _ in slope["points"])
    most = max(x for x, _ in slope["points"])
    lines = ["$points with points pt 7 ps 0.7 title 'measured'",
             f"[{least}:{most}] {slope['intercept']} + {slope['slope']} * x title 'fit'"]
    if limit is not None:
        lines.append(f"[{least}:{most}] {limit} title 'limit' lw 2")
    script = f"""$points << EOD
{points}
EOD
set terminal svg size 640,360 font 'sans-serif,12' background 'white'
set output '{folder / (name + ".svg")}'
set title '{name}' noenhanced
set xlabel '{slope["x_unit"]}'
set ylabel '{slope["y_unit"]}'
set yrange [0:*]
set key top left
set grid
plot {", ".join(lines)}
"""
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def write_page(measured, page, folder):
    """Writes page and plots."""
    model = Model(measured)
    all_roles = roles(model)
    slopes = model.slopes.values()
    folder.mkdir(parents=True, exist_ok=True)
    for it in slopes:
        plot(it, folder, model.limit_of_slope(it["name"]))
    slope_rows = [[it["name"], it["x_unit"], it["y_unit"], number(it["intercept"]), number(it["slope"]), number(it["fit_error"]),
                   ", ".join(number(x) for x, _ in it["points"])] for it in slopes]
    text = SUMMARY.format(
        reference_us=model.reference_us,
        target_table=table(["quantity", "size"], model.target_rows()),
        members=model.members, targets=model.targets, addresses=model.addresses, flows=model.flows, new_flows=model.new_flows,
        control_table=table(["cost", "figure", "limit", "ratio", "worked out from"], figure_rows(model.control_figures())),
        role_sections="\n\n".join(role_section(it) for it in all_roles),
        slope_table=table(["slope", "size", "cost", "at size 0", "for each unit of size", "fit error", "sizes"], slope_rows),
        plots="\n".join(f"![{it['name']}](capacity/{it['name']}.svg)" for it in slopes),
        open_points="\n".join(f"- {it}" for it in model.open_points()))
    page.write_text(text)


def main():
    slopes, page, folder = (pathlib.Path(it) for it in sys.argv[1:4])
    write_page(json.loads(slopes.read_text()), page, folder)


if __name__ == "__main__":
    main()
