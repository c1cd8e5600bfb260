"""Removes one mechanism from a copy of the tree, to measure its effect.

    python -m benchmarks.ablations COPY NAME      changes the copy
    python -m benchmarks.ablations --list         lists the names

Each change is the smallest that replaces a mechanism by the default behaviour.
`features/ablations.feature` checks that all changes still fit the code. They are
not options of the programs, because the programs would then have to check the
options throughout their code.
"""

import argparse
import pathlib

import attrs

SOURCES = "src/_coltsfootroad/"


@attrs.frozen
class Change:
    """A text in a file and its replacement."""

    path: str
    before: str
    after: str


@attrs.frozen
class Ablation:
    """A mechanism and the changes that remove it."""

    name: str
    text: str
    changes: tuple[Change, ...]


def make_ablation(
    name: str, text: str, *changes: tuple[str, str, str]
) -> Ablation:
    """Return an ablation; paths are relative to the root of the tree."""
    return Ablation(name, text, tuple(Change(*change) for change in changes))


ABLATIONS = (
    make_ablation(
        "splitting",
        "each prompt is prefilled by one engine",
        (
            SOURCES + "core/placement/engineplacement.py",
            "MIN_SPLIT_TOKENS = 10_000",
            "MIN_SPLIT_TOKENS = 10**9",
        ),
    ),
    make_ablation(
        "harm",
        "placement ignores the value that other streams lose",
        (
            SOURCES + "core/placement/enginestate.py",
            "        lost = 0.0\n",
            "        return 0.0\n",
        ),
    ),
    make_ablation(
        "ranks",
        "engines serve prompts in the order of arrival",
        (
            SOURCES + "core/placement/urgency.py",
            "    if waited_s + predicted_s > route",
            "    return RANKS[0][1]\n    if waited_s + predicted_s > route",
        ),
    ),
    make_ablation(
        "shedding",
        "no short prompt is shed because of the queue",
        (
            SOURCES + "core/placement/shedding.py",
            "    if waiting <= share * slots:",
            "    if waiting >= 0:",
        ),
    ),
    make_ablation(
        "telling work",
        "gateways do not share what they sent",
        (
            SOURCES + "gateway/gossip.py",
            "        for member in members:",
            "        for member in ():",
        ),
    ),
    make_ablation(
        "start hold",
        "a gateway that has just started refuses requests at once",
        (
            SOURCES + "gateway/startup.py",
            "MAX_HOLD_S = 1.5",
            "MAX_HOLD_S = 0.0",
        ),
    ),
    make_ablation(
        "rests",
        "a failed endpoint is not ejected",
        (
            SOURCES + "core/endpointset.py",
            "        known.ejected_until = now + ejection_s\n",
            "",
        ),
    ),
    make_ablation(
        "switching",
        "requests do not fail over from an unresponsive endpoint",
        (
            SOURCES + "core/sends.py",
            "        return self.idempotent and self.runs + 1 < self.attempts",
            "        return False",
        ),
    ),
    make_ablation(
        "kept connections",
        "each request opens a new connection to its endpoint",
        (
            SOURCES + "gateway/upstream.py",
            "        stream = self.take_idle() if reuse else None",
            "        stream = None",
        ),
    ),
    make_ablation(
        "early listener",
        "connections are refused while the program starts",
        (
            "deploy/gateway.json",
            '"listen_early": true',
            '"listen_early": false',
        ),
    ),
    make_ablation(
        "far gateways",
        "callers get only the gateways of their own zone",
        (
            SOURCES + "gateway/directory.py",
            "MIN_ADDRESSES = 4",
            "MIN_ADDRESSES = 1",
        ),
    ),
    make_ablation(
        "early votes",
        "a replica that has just started waits a full election timeout",
        (
            SOURCES + "control/electiontimer.py",
            "            pause = self.rng.uniform(0.0, COLD_START_TIMEOUT_MAX_S)",
            "            pause = self.rng.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)",
        ),
        (
            SOURCES + "control/raft.py",
            "            if pre_candidate and self.is_idle and voters <= self.idle:",
            "            if False:",
        ),
    ),
)


def by_name(name: str) -> Ablation:
    """Return an ablation by its name.

    Raises:
        KeyError: The name is unknown.
    """
    return {ablation.name: ablation for ablation in ABLATIONS}[name]


def apply(tree: pathlib.Path, ablation: Ablation) -> None:
    """Apply an ablation to a copy of the tree.

    Raises:
        ValueError: A change does not fit the code.
    """
    for change in ablation.changes:
        path = tree / change.path
        text = path.read_text()
        if text.count(change.before) != 1:
            raise ValueError(f"{ablation.name}: {change.path} has changed")
        path.write_text(text.replace(change.before, change.after))


def main() -> None:
    """Change a copy, or list the ablations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("copy", nargs="?", type=pathlib.Path)
    parser.add_argument("name", nargs="?", choices=[a.name for a in ABLATIONS])
    parser.add_argument("--list", action="store_true")
    arguments = parser.parse_args()
    if arguments.list or not arguments.name:
        for ablation in ABLATIONS:
            print(f"{ablation.name:18s} {ablation.text}")
        return
    apply(arguments.copy, by_name(arguments.name))


if __name__ == "__main__":
    main()
