"""Explains where the score of a simulated day was lost, from report and logs.

    python -m benchmarks.losses REPORT.json [--log OUTPUT.txt]

The first table adds up to the loss, which is one minus the score: the sum of the
losses of the weighted parts and of all prices. The other tables show the loss by
kind of request, by zone and by time. With the output of the run, which contains
the log lines of the gateways, late streams are counted by cause.
"""

import argparse
import collections
import json
import pathlib
import re

import attrs

# A log line in the output of a run: simulated time, machine, JSON.
LOG_LINE = re.compile(r"^ *(-?[0-9.]+) (\S+) (\{.*\})$")
# Smaller prices are summed in one row.
MIN_SHOWN_PRICE = 0.0005
WORST_WINDOW_COUNT = 6
# A prediction above this share of the target counts as predicted late.
PREDICTED_LATE_SHARE = 0.5


@attrs.frozen
class Row:
    """A row of the table of losses."""

    name: str
    lost: float


def list_losses(report: dict) -> list[Row]:
    """Return the losses, which add up to one minus the score."""
    rows = [
        Row(name, weight * (1.0 - value))
        for name, weight, value in report["parts"]
    ]
    prices = [Row("price: " + name, cost) for name, _, cost in report["prices"]]
    rows += [row for row in prices if abs(row.lost) >= MIN_SHOWN_PRICE]
    small = sum(row.lost for row in prices if abs(row.lost) < MIN_SHOWN_PRICE)
    rows.append(Row("all other prices", small))
    rows.append(Row("not explained", 1.0 - report["G"] - total(rows)))
    return sorted(rows, key=lambda row: -row.lost)


def total(rows: list[Row]) -> float:
    """Return the sum of the losses."""
    return sum(row.lost for row in rows)


def format_counts(entry: dict) -> str:
    """Return the counts of a kind of request, a zone or a window."""
    expected = entry["n"] - entry["not_owed"]
    return (
        f"{entry['name']:20s} expected {expected:5d}  late {entry['late']:4d}"
        f"  refused {entry['refused']:3d}  failed {entry['failed']:3d}"
        f"  score {entry['worth']:.3f}"
    )


def worst_windows(windows: list[dict]) -> list[dict]:
    """Return the windows with the most late, refused and failed requests."""

    def count_affected(window: dict) -> int:
        return window["late"] + window["refused"] + window["failed"]

    return sorted(windows, key=count_affected, reverse=True)[
        :WORST_WINDOW_COUNT
    ]


def parse_log_lines(text: str) -> list[tuple[float, dict]]:
    """Return the log lines in the output of a run with their times."""
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


def find_cause(sent: dict, ended: dict) -> str:
    """Return why a stream was late, empty if it was in time."""
    if ended["outcome"] != "answered":
        return ""
    first_s = ended.get("first_event_s")
    if first_s is None:
        return ""
    if first_s > ended["target_s"]:
        if sent["send"] > 1:
            return "first event late: an earlier endpoint failed"
        send_delay_s = first_s - ended["took_s"]
        if send_delay_s > ended["target_s"]:
            return "first event late: queued in the gateway"
        is_predicted_late = (
            sent["predicted_s"] > PREDICTED_LATE_SHARE * ended["target_s"]
        )
        return "first event late: " + (
            "predicted" if is_predicted_late else "not predicted"
        )
    if ended["longest_pause_s"] > ended["gap_target_s"] > 0:
        return "gap between events too long"
    return ""


def count_causes(lines: list[tuple[float, dict]]) -> collections.Counter:
    """Return the number of late streams by target and cause."""
    sent: dict[tuple[str, str], dict] = {}
    found: collections.Counter = collections.Counter()
    for _, line in sorted(lines, key=lambda entry: entry[0]):
        key = (line.get("request", ""), line.get("endpoint", ""))
        if line.get("event") == "sent":
            sent[key] = line
        elif line.get("event") == "send ended" and key in sent:
            cause = find_cause(sent.pop(key), line)
            if cause:
                found[f"target {line['target_s']:g} s, {cause}"] += 1
    return found


def format_tables(report: dict, lines: list[tuple[float, dict]]) -> str:
    """Return the tables as text."""
    rows = list_losses(report)
    text = [f"score {report['G']:.3f}, lost {1.0 - report['G']:.3f}:"]
    text += [f"  {row.lost:7.4f}  {row.name}" for row in rows]
    text += ["by kind:", *("  " + format_counts(c) for c in report["classes"])]
    text += ["by zone:", *("  " + format_counts(z) for z in report["zones"])]
    text += ["windows of two seconds with the most affected requests:"]
    text += ["  " + format_counts(w) for w in worst_windows(report["windows"])]
    if lines:
        text += ["late streams by cause:"]
        ordered = count_causes(lines).most_common()
        text += [f"  {count:4d}  {name}" for name, count in ordered]
    return "\n".join(text)


def main() -> None:
    """Print the tables of one run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("--log", type=pathlib.Path)
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    text = arguments.log.read_text(errors="replace") if arguments.log else ""
    print(format_tables(report, parse_log_lines(text)))


if __name__ == "__main__":
    main()
