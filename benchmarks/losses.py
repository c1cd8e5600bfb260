"""Tells where the worth of a played day was lost, from its report and logs.

    python -m benchmarks.losses REPORT.json [--log PLAY.txt]

The first table adds up to what is missing: one less the day's worth is the sum
of what each weighted part lacks and of all prices. The others show which kinds
of requests and which seconds lack it. With the play's output, which holds the
gateways' log lines, late streams are told apart by what made them late.
"""

import argparse
import collections
import json
import pathlib
import re

import attrs

# A line of a process in a play's output: simulated time, machine, JSON.
LOG_LINE = re.compile(r"^ *(-?[0-9.]+) (\S+) (\{.*\})$")
# Prices below this are shown as one row.
SMALL_PRICE = 0.0005
WORST_SECONDS = 6
# Predictions above this part of the aim said that it was in danger.
FORESEEN_SHARE = 0.5


@attrs.frozen
class Row:
    """One line of a table: what lacks worth, and how much."""

    name: str
    lost: float


def missing(report: dict) -> list[Row]:
    """Return what adds up to one less the worth of the day."""
    rows = [
        Row(name, weight * (1.0 - value))
        for name, weight, value in report["parts"]
    ]
    prices = [Row("price: " + name, cost) for name, _, cost in report["prices"]]
    rows += [row for row in prices if abs(row.lost) >= SMALL_PRICE]
    small = sum(row.lost for row in prices if abs(row.lost) < SMALL_PRICE)
    rows.append(Row("all other prices", small))
    rows.append(Row("not explained", 1.0 - report["G"] - total(rows)))
    return sorted(rows, key=lambda row: -row.lost)


def total(rows: list[Row]) -> float:
    """Return the sum of a table."""
    return sum(row.lost for row in rows)


def counted(entry: dict) -> str:
    """Return the counts of a kind of request or of a span of time."""
    owed = entry["n"] - entry["not_owed"]
    return (
        f"{entry['name']:20s} owed {owed:5d}  late {entry['late']:4d}"
        f"  refused {entry['refused']:3d}  failed {entry['failed']:3d}"
        f"  worth {entry['worth']:.3f}"
    )


def worst(windows: list[dict]) -> list[dict]:
    """Return the spans in which most requests were late or lost."""

    def harmed(window: dict) -> int:
        return window["late"] + window["refused"] + window["failed"]

    return sorted(windows, key=harmed, reverse=True)[:WORST_SECONDS]


def log_lines(text: str) -> list[tuple[float, dict]]:
    """Return the log lines in a play's output, with their times."""
    found = []
    for line in text.splitlines():
        match = LOG_LINE.match(line)
        if match is None:
            continue
        try:
            found.append((float(match[1]), json.loads(match[3])))
        except ValueError:
            continue
    return found


def cause(sent: dict, ended: dict) -> str:
    """Return what made a stream late, empty if it was in time."""
    if ended["outcome"] != "answered":
        return ""
    first_s = ended.get("first_event_s")
    if first_s is None:
        return ""
    if first_s > ended["target_s"]:
        if sent["send"] > 1:
            return "first event late: an endpoint before it failed"
        before_s = first_s - ended["took_s"]
        if before_s > ended["target_s"]:
            return "first event late: held by the gateway"
        foreseen = sent["predicted_s"] > FORESEEN_SHARE * ended["target_s"]
        return "first event late: " + (
            "foreseen" if foreseen else "not foreseen"
        )
    if ended["longest_pause_s"] > ended["gap_target_s"] > 0:
        return "a pause too long"
    return ""


def causes(lines: list[tuple[float, dict]]) -> collections.Counter:
    """Return how many streams were late, by aim and by cause."""
    sent: dict[tuple[str, str], dict] = {}
    found: collections.Counter = collections.Counter()
    for _, line in sorted(lines, key=lambda entry: entry[0]):
        key = (line.get("request", ""), line.get("endpoint", ""))
        if line.get("event") == "sent":
            sent[key] = line
        elif line.get("event") == "send ended" and key in sent:
            why = cause(sent.pop(key), line)
            if why:
                found[f"aim {line['target_s']:g} s, {why}"] += 1
    return found


def show(report: dict, lines: list[tuple[float, dict]]) -> str:
    """Return the tables."""
    rows = missing(report)
    text = [f"worth {report['G']:.3f}, missing {1.0 - report['G']:.3f}:"]
    text += [f"  {row.lost:7.4f}  {row.name}" for row in rows]
    text += ["by kind:", *("  " + counted(c) for c in report["classes"])]
    text += ["by zone:", *("  " + counted(z) for z in report["zones"])]
    text += ["spans of two seconds with most harm:"]
    text += ["  " + counted(w) for w in worst(report["windows"])]
    if lines:
        text += ["late streams by cause:"]
        ordered = causes(lines).most_common()
        text += [f"  {count:4d}  {name}" for name, count in ordered]
    return "\n".join(text)


def main() -> None:
    """Show the tables of one play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("--log", type=pathlib.Path)
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    text = arguments.log.read_text(errors="replace") if arguments.log else ""
    print(show(report, log_lines(text)))


if __name__ == "__main__":
    main()
