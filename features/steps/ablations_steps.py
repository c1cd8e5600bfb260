"""Steps for the ablation benchmarks."""

import pathlib
import shutil

from behave import then

from benchmarks import ablations


@then("each ablation changes a copy of the code, which still compiles")
def ablations_fit(context):
    for ablation in ablations.ABLATIONS:
        for change in ablation.changes:
            target = context.folder / change.path
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(pathlib.Path(change.path), target)
        ablations.apply(context.folder, ablation)
        for change in ablation.changes:
            changed = context.folder / change.path
            assert changed.read_text() != pathlib.Path(change.path).read_text()
            if changed.suffix == ".py":
                compile(changed.read_text(), change.path, "exec")
