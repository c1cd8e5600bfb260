"""Patterns of crash reports, and the culprits found from them."""

import attrs

from _coltsfootroad.core import crashes
from _coltsfootroad.core import crashledger
from _coltsfootroad.core import crashrecord
from _coltsfootroad.core import fingerprints

STEP_S = 0.2
RUN_S = 0.1
# A time at which all observers have reported.
END_S = 10_000.0


def fingerprint_of(
    name: str, workspace: str = "acme"
) -> fingerprints.Fingerprint:
    """Return the fingerprint of a request by its name in the test."""
    return fingerprints.compute("POST", "h", "/x", workspace, name.encode())


def crash(number: int, at: float, **sent_at: float) -> crashes.Crash:
    """Return a crash of an endpoint.

    `sent_at` holds the times of the sends of the requests in flight, by name.
    """
    return crashes.Crash(
        endpoint=crashes.EndpointKey(endpoint=f"e{number}", incarnation=1),
        at=at,
        suspects=tuple(
            crashes.Suspect(fingerprint=fingerprint_of(name), sent_at=sent)
            for name, sent in sent_at.items()
        ),
    )


def in_a_row(count: int, *names: str, first: int = 0) -> list[crashes.Crash]:
    """Return crashes in sequence, with the same requests in flight."""
    return [
        crash(n, n * STEP_S, **dict.fromkeys(names, n * STEP_S - RUN_S))
        for n in range(first, first + count)
    ]


def beside_others() -> list[crashes.Crash]:
    """Return crashes of poison, each with other requests in flight."""
    return [
        crash(n, n * STEP_S, poison=n * STEP_S - RUN_S, **{f"other{n}": 0.0})
        for n in range(3)
    ]


def alternating() -> list[crashes.Crash]:
    """Return crashes of one poison request and then of another."""
    return in_a_row(3, "poison") + in_a_row(3, "also", first=3)


def alternating_under_popular(count: int) -> list[crashes.Crash]:
    """Return crashes of three poison requests, with a popular one each."""
    return [
        report
        for number in range(count)
        for report in in_a_row(
            1, f"poison{number % 3}", "popular", first=number
        )
    ]


def with_bystander() -> list[crashes.Crash]:
    """Return crashes of poison, three of them with a bystander."""
    return in_a_row(3, "poison", "bystander") + in_a_row(2, "poison", first=3)


def with_output(reports: list[crashes.Crash], name: str) -> list[crashes.Crash]:
    """Return the reports, changed so that a request has output at each crash."""
    return [
        attrs.evolve(
            report,
            suspects=tuple(
                attrs.evolve(suspect, has_output=True)
                if suspect.fingerprint == fingerprint_of(name)
                else suspect
                for suspect in report.suspects
            ),
        )
        for report in reports
    ]


PATTERNS = {
    "poison crashes three endpoints in a row": in_a_row(3, "poison"),
    "poison crashes two endpoints": in_a_row(2, "poison"),
    "poison is reported by a gateway for each crash": in_a_row(3, "poison"),
    "poison runs beside other requests each time": beside_others(),
    "poison crashes five, a bystander follows it": with_bystander(),
    "two poison requests alternate": alternating(),
    "two poison requests run together, then each alone": (
        in_a_row(5, "poison", "also")
        + in_a_row(1, "poison", first=5)
        + in_a_row(1, "also", first=6)
    ),
    "poison has output before each of six crashes": with_output(
        in_a_row(6, "poison"), "poison"
    ),
    "a popular stream with output is at five crashes": with_output(
        in_a_row(5, "popular"), "popular"
    ),
    "a popular stream with one output is at five crashes": (
        with_output(in_a_row(1, "popular"), "popular")
        + in_a_row(4, "popular", first=1)
    ),
    "one crash is reported by five gateways": [
        crash(1, 1.0 + n / 100, poison=0.9) for n in range(5)
    ],
    "one crash is reported five times": [crash(1, 1.0, poison=0.9)] * 5,
    "a rack crashes under a popular request": [
        crash(n, 1.0 + n / 1000, popular=n / 20) for n in range(5)
    ],
    "a bystander follows poison to three endpoints": in_a_row(
        3, "poison", "bystander"
    ),
    "three poison requests alternate under a popular one": (
        alternating_under_popular(5)
    ),
    "three crashes are spread over more than the window": [
        crash(
            n,
            n * crashrecord.EVIDENCE_WINDOW_S,
            poison=n * crashrecord.EVIDENCE_WINDOW_S - 1,
        )
        for n in range(1, 4)
    ],
}


def ledger_of(reports: list[crashes.Crash]) -> crashledger.CrashLedger:
    """Return a ledger with the given reports."""
    ledger = crashledger.CrashLedger()
    for report in reports:
        ledger.record(report, report.at)
    return ledger


def culprits_of(
    ledger, *known: str, now: float = END_S
) -> list[fingerprints.Fingerprint]:
    """Return the culprits that are found in addition to the known ones."""
    verdicts = ledger.find_culprits(
        [fingerprint_of(name) for name in known], now
    )
    return [verdict.fingerprint for verdict in verdicts]
