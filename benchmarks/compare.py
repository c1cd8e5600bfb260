"""Compares versions of the tree by the score of the same days and seeds.

    python -m benchmarks.compare --way old=DIR,DIR --way new=DIR,DIR
        --case SITE:DAY:SEED --case SITE:DAY:SEED --results FILE.jsonl
        -- COMMAND run {site} {day} --seed {seed} --report {report}

COMMAND is run in a folder of a version and writes a JSON report to `{report}`.
Its arguments may contain `{site}`, `{day}`, `{seed}`, `{way}` and `{report}`. A
folder runs one command at a time, so a version with several folders, copies of
the same sources, can run several. Runs that FILE already holds are not
repeated, so that an interrupted comparison continues. `--table` prints the
table without runs.

Versions are compared by the difference of each day and seed to the first
version; a case that any version did not complete is left out and printed.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import sys

import attrs
import numpy

# Resamples of the differences for the confidence interval.
RESAMPLES = 10_000
INTERVAL_PERCENTILES = (2.5, 97.5)
ALL_SITES = "all"


@attrs.frozen
class Case:
    """A day of a site with a seed; each version runs it once."""

    site: str
    day: str
    seed: str

    @property
    def site_name(self) -> str:
        """Return the name of the site file without folder and ending."""
        return pathlib.Path(self.site).stem

    @property
    def label(self) -> str:
        """Return the text that identifies the case in a table."""
        return f"{self.site_name}:{pathlib.Path(self.day).stem}:{self.seed}"


@attrs.frozen
class Result:
    """The outcome of one run.

    Attributes:
        way: Name of the version.
        case: Label of the case.
        site: Name of the site.
        score: The score, None if the run gave no report.
        parts: Further figures of the report, by name.
        error: Why the run gave no report.
    """

    way: str
    case: str
    site: str
    score: float | None
    parts: dict[str, float] = attrs.Factory(dict)
    error: str = ""


@attrs.frozen
class Difference:
    """The mean difference of a version to the first one on a site.

    Attributes:
        site: Name of the site, or `ALL_SITES`.
        way: Name of the version.
        count: Number of compared cases.
        base: Mean score of the first version.
        mean: Mean difference.
        low: Lower end of the 95% interval of the mean difference.
        high: Upper end of it.
        worst_case: Case with the lowest difference.
        worst: That difference.
    """

    site: str
    way: str
    count: int
    base: float
    mean: float
    low: float
    high: float
    worst_case: str
    worst: float


class MismatchError(ValueError):
    """Two versions have no completed case in common."""


def parse_case(text: str) -> Case:
    """Return the case of `SITE:DAY:SEED`; raises ValueError for other text."""
    parts = text.rsplit(":", 2)
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"{text!r} is not SITE:DAY:SEED")
    return Case(*parts)


def interval(differences: list[float]) -> tuple[float, float]:
    """Return the 95% bootstrap interval of the mean."""
    rng = numpy.random.default_rng(0)
    samples = rng.choice(differences, (RESAMPLES, len(differences)))
    low, high = numpy.percentile(samples.mean(axis=1), INTERVAL_PERCENTILES)
    return float(low), float(high)


def compare(results: list[Result]) -> list[Difference]:
    """Return the differences to the first version, by site and over all.

    Raises MismatchError if a version has no completed case in common with the
    first one.
    """
    scores: dict[str, dict[str, float]] = collections.defaultdict(dict)
    sites: dict[str, str] = {}
    for result in results:
        sites[result.case] = result.site
        if result.score is not None:
            scores[result.way][result.case] = result.score
    ways = list(dict.fromkeys(result.way for result in results))
    found = []
    for way in ways[1:]:
        common = [case for case in scores[ways[0]] if case in scores[way]]
        if not common:
            raise MismatchError(
                f"{way!r} and {ways[0]!r} have no completed case in common"
            )
        by_site = collections.defaultdict(list)
        for case in common:
            by_site[sites[case]].append(case)
        by_site[ALL_SITES] = common
        for site, cases in by_site.items():
            found.append(difference(site, way, cases, scores, ways[0]))
    return found


def difference(site, way, cases, scores, base) -> Difference:
    """Return the difference of one version over some cases."""
    differences = {
        case: scores[way][case] - scores[base][case] for case in cases
    }
    low, high = interval(list(differences.values()))
    worst_case = min(differences, key=differences.__getitem__)
    return Difference(
        site=site,
        way=way,
        count=len(cases),
        base=float(numpy.mean([scores[base][case] for case in cases])),
        mean=float(numpy.mean(list(differences.values()))),
        low=low,
        high=high,
        worst_case=worst_case,
        worst=differences[worst_case],
    )


def format_table(differences: list[Difference]) -> str:
    """Return the differences as text, a line each."""
    lines = [
        f"{'site':24s} {'version':16s} {'n':>3s} {'base':>6s} {'diff':>7s}"
        "  95% interval      worst case"
    ]
    lines += [
        f"{d.site:24s} {d.way:16s} {d.count:3d} {d.base:6.3f} {d.mean:+7.3f}"
        f"  {d.low:+.3f} to {d.high:+.3f}  {d.worst:+.3f} {d.worst_case}"
        for d in differences
    ]
    return "\n".join(lines)


def read_report(path: pathlib.Path) -> tuple[float, dict[str, float]]:
    """Return the score and the parts of a report.

    Raises OSError, or ValueError and LookupError for an unexpected report.
    """
    report = json.loads(path.read_text())
    parts = {name: value for name, _, value in report["parts"]}
    parts["prices"] = sum(cost for _, _, cost in report["prices"])
    return report["G"], parts


async def run_case(
    way: str, folder: pathlib.Path, case: Case, command: list[str], reports
) -> Result:
    """Run one case with one version and return the outcome."""
    report = reports / f"{way}-{case.label.replace(':', '-')}.json"
    report.unlink(missing_ok=True)
    words = {
        "site": case.site,
        "day": case.day,
        "seed": case.seed,
        "way": way,
        "report": str(report),
    }
    process = await asyncio.create_subprocess_exec(
        *(word.format(**words) for word in command),
        cwd=folder,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    report.with_suffix(".txt").write_bytes(output)
    result = Result(way, case.label, case.site_name, None)
    try:
        score, parts = read_report(report)
    except (OSError, ValueError, LookupError) as error:
        return attrs.evolve(
            result, error=f"status {process.returncode}: {error!r}"
        )
    return attrs.evolve(result, score=score, parts=parts)


async def run_all(ways, cases, command, jobs, results_path) -> None:
    """Run all cases that have no result yet, at most `jobs` at a time."""
    reports = results_path.with_suffix("")
    reports.mkdir(parents=True, exist_ok=True)
    done = {(result.way, result.case) for result in load(results_path)}
    slots = asyncio.Semaphore(jobs)
    free = {way: asyncio.Queue() for way in ways}
    for way, folders in ways.items():
        for folder in folders:
            free[way].put_nowait(folder)

    async def run_one(way, case):
        folder = await free[way].get()
        async with slots:
            result = await run_case(way, folder, case, command, reports)
        free[way].put_nowait(folder)
        with results_path.open("a") as file:
            file.write(json.dumps(attrs.asdict(result)) + "\n")
        print(result.way, result.case, result.score, result.error, flush=True)

    await asyncio.gather(
        *(
            run_one(way, case)
            for case in cases
            for way in ways
            if (way, case.label) not in done
        )
    )


def load(path: pathlib.Path) -> list[Result]:
    """Return the results in a file, none if it does not exist."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [Result(**json.loads(line)) for line in lines]


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--way", action="append", default=[])
    parser.add_argument("--case", action="append", default=[], type=parse_case)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--results", type=pathlib.Path, required=True)
    parser.add_argument("--table", action="store_true")
    parser.add_argument("command", nargs="*")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> None:
    """Run the cases and print the table."""
    options = parse_arguments(arguments)
    ways = {}
    for text in options.way:
        name, _, folders = text.partition("=")
        ways[name] = [pathlib.Path(folder) for folder in folders.split(",")]
    if not options.table:
        asyncio.run(
            run_all(
                ways,
                options.case,
                options.command,
                options.jobs,
                options.results,
            )
        )
    results = load(options.results)
    if ways:
        # The order of the command line decides which version is the first.
        order = list(ways)
        results = [r for r in results if r.way in ways]
        results.sort(key=lambda result: order.index(result.way))
    for result in results:
        if result.score is None:
            print(f"not completed: {result.way} {result.case} {result.error}")
    differences = compare(results)
    print(format_table(differences))
    summary = [attrs.asdict(entry) for entry in differences]
    options.results.with_suffix(".summary.json").write_text(
        json.dumps(summary, indent=1) + "\n"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
