"""Takes one mechanism out of a copy of the tree, to measure what it is worth.

    python -m benchmarks.ablations COPY NAME      changes the copy
    python -m benchmarks.ablations --list         shows the names

Each change is the smallest that puts the plain behaviour in a mechanism's place;
`features/ablations.feature` holds that all of them still fit the code. They are
kept out of the programs, which would have to ask at every step otherwise.
"""

import argparse
import pathlib

import attrs

SOURCES = "src/_coltsfootroad/"


@attrs.frozen
class Change:
    """A piece of text in a file and what stands in its place."""

    path: str
    before: str
    after: str


@attrs.frozen
class Ablation:
    """A mechanism and the changes that take it out."""

    name: str
    text: str
    changes: tuple[Change, ...]


def ablation(name: str, text: str, *changes: tuple[str, str, str]) -> Ablation:
    """Return an ablation; paths are relative to the sources."""
    return Ablation(name, text, tuple(Change(*change) for change in changes))


ABLATIONS = (
    ablation(
        "splitting",
        "prompts are read by one engine",
        (
            SOURCES + "core/engineplacement.py",
            "MIN_SPLIT_TOKENS = 10_000",
            "MIN_SPLIT_TOKENS = 10**9",
        ),
    ),
    ablation(
        "harm",
        "placement does not ask what other streams lose",
        (
            SOURCES + "core/enginestate.py",
            "        lost = 0.0\n",
            "        return 0.0\n",
        ),
    ),
    ablation(
        "ranks",
        "engines serve all prompts in turn",
        (
            SOURCES + "core/urgency.py",
            "    if waited_s + predicted_s > route",
            "    return RANKS[0][1]\n    if waited_s + predicted_s > route",
        ),
    ),
    ablation(
        "shedding",
        "no short prompt is sent away because of a queue",
        (
            SOURCES + "core/shedding.py",
            "    if waiting <= share * places:",
            "    if waiting >= 0:",
        ),
    ),
    ablation(
        "telling work",
        "gateways do not tell each other what they sent",
        (
            SOURCES + "gateway/gossip.py",
            "        for member in members:",
            "        for member in ():",
        ),
    ),
    ablation(
        "start hold",
        "a gateway that has just started refuses at once",
        (SOURCES + "gateway/startup.py", "HOLD_S = 1.5", "HOLD_S = 0.0"),
    ),
    ablation(
        "rests",
        "an endpoint that failed is used like the others",
        (
            SOURCES + "core/endpointset.py",
            "        known.ejected_until = now + ejection_s\n",
            "",
        ),
    ),
    ablation(
        "switching",
        "a silent endpoint is waited for",
        (
            SOURCES + "core/sends.py",
            "        return self.idempotent and self.runs + 1 < self.attempts",
            "        return False",
        ),
    ),
    ablation(
        "kept connections",
        "each request opens a connection to its endpoint",
        (
            SOURCES + "gateway/upstream.py",
            "        stream = self.take_idle() if reuse else None",
            "        stream = None",
        ),
    ),
    ablation(
        "early listener",
        "callers are refused while the program starts",
        (
            "deploy/gateway.json",
            '"listen_early": true',
            '"listen_early": false',
        ),
    ),
    ablation(
        "far gateways",
        "callers get their own zone's gateways only",
        (
            SOURCES + "gateway/directory.py",
            "ENOUGH_NEAR = 4",
            "ENOUGH_NEAR = 1",
        ),
    ),
    ablation(
        "early votes",
        "a replica that has just started waits a whole election pause",
        (
            SOURCES + "control/electiontimer.py",
            "            pause = self.rng.uniform(0.0, FIRST_PAUSE_MAX_S)",
            "            pause = self.rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)",
        ),
        (
            SOURCES + "control/raft.py",
            "            if pre_candidate and self.is_idle and voters <= self.idle:",
            "            if False:",
        ),
    ),
)


def by_name(name: str) -> Ablation:
    """Return an ablation; raises KeyError."""
    return {found.name: found for found in ABLATIONS}[name]


def apply(tree: pathlib.Path, found: Ablation) -> None:
    """Change a copy of the tree; raises ValueError where it does not fit."""
    for change in found.changes:
        path = tree / change.path
        text = path.read_text()
        if text.count(change.before) != 1:
            raise ValueError(f"{found.name}: {change.path} has changed")
        path.write_text(text.replace(change.before, change.after))


def main() -> None:
    """Change a copy, or show what can be taken out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("copy", nargs="?", type=pathlib.Path)
    parser.add_argument("name", nargs="?", choices=[a.name for a in ABLATIONS])
    parser.add_argument("--list", action="store_true")
    arguments = parser.parse_args()
    if arguments.list or not arguments.name:
        for found in ABLATIONS:
            print(f"{found.name:18s} {found.text}")
        return
    apply(arguments.copy, by_name(arguments.name))


if __name__ == "__main__":
    main()
