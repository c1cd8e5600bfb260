"""Steps on the changes that take mechanisms out."""

import pathlib
import shutil

from behave import then

from benchmarks import ablations


@then("each ablation changes a copy, and the copy still compiles")
def all_fit(context):
    for found in ablations.ABLATIONS:
        for change in found.changes:
            target = context.folder / change.path
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(pathlib.Path(change.path), target)
        ablations.apply(context.folder, found)
        for change in found.changes:
            changed = context.folder / change.path
            assert changed.read_text() != pathlib.Path(change.path).read_text()
            if changed.suffix == ".py":
                compile(changed.read_text(), change.path, "exec")
