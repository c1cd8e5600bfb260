"""`colts-replay`: replays a recorded trace and checks expected outcomes."""

import json

from absl import flags

from _coltsfootroad.commands import common
from _coltsfootroad.replay import measure
from _coltsfootroad.replay import player
from _coltsfootroad.replay import trace as trace_lib

POLICY = flags.DEFINE_string("policy", "all", "Policy to replay, or 'all'.")
JSON = flags.DEFINE_bool("json", False, "Print one JSON object per policy.")
HEADER = f"{'policy':<20}{'fin':>6}{'ref':>5}{'fail':>5}{'slow95':>8}"


def print_report(report: measure.Report) -> None:
    """Print the measures of one policy."""
    if JSON.value:
        print(json.dumps(report.to_document()), flush=True)
        return
    p95 = report.short_slowdown_p95
    classes = "".join(
        f"  {name}: {report.ttft_p50_s[name]:.2f}/{seconds:.2f}"
        for name, seconds in report.ttft_p95_s.items()
    )
    print(
        f"{report.policy:<20}{report.finished:>6}{report.refused_not_run:>5}"
        f"{report.failed:>5}{p95 if p95 is not None else '-':>8}{classes}",
        flush=True,
    )


def main(arguments: list[str]) -> int:
    """Replay the trace named on the command line."""
    if len(arguments) != 2:
        common.print_error("usage: colts-replay TRACE [--policy=NAME] [--json]")
        return common.EXIT_USAGE
    selected = player.POLICIES if POLICY.value == "all" else (POLICY.value,)
    unknown = [name for name in selected if name not in player.POLICIES]
    if unknown:
        known = ", ".join(player.POLICIES)
        common.print_error(f"policy {unknown[0]!r} is not one of {known}")
        return common.EXIT_USAGE
    loaded = trace_lib.read(arguments[1])
    trace = loaded.ok if loaded.is_ok() else None
    checked = player.check_trace(trace) if trace is not None else loaded
    if checked.is_error():
        common.print_error(checked.error)
        return common.EXIT_USAGE
    return replay_all(trace, selected)


def replay_all(trace: trace_lib.Trace, selected: tuple[str, ...]) -> int:
    """Replay under each policy; return 1 if an expected outcome is not met."""
    if not JSON.value:
        print(f"{HEADER}  time to first token p50/p95 s by length class")
    reports = []
    for name in selected:
        reports.append(player.replay(trace, name))
        print_report(reports[-1])
    violations = player.unmet_outcomes(trace, reports)
    for fault in violations:
        common.print_error(f"outcome not met: {fault}")
    if trace.outcomes and not violations and not JSON.value:
        print(f"all {len(trace.outcomes)} expected outcomes met")
    return common.EXIT_FAILED if violations else common.EXIT_OK


def run() -> None:
    """Run the program."""
    common.start(main, __doc__)


if __name__ == "__main__":
    run()
