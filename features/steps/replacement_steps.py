"""Steps on VMs that are replaced, restarted, frozen and wiped in a row."""

from behave import then

from features.support import replacements

SEEDS = range(4)


@then("these histories end with a whole set that bears the losses it has to")
def histories_end_whole(context):
    broken = [
        (row["history"], seed, faults)
        for row in context.table
        for seed in SEEDS
        if (
            faults := replacements.faults_after(
                row["history"], int(row["bears"]), seed
            )
        )
    ]
    assert not broken, "\n".join(str(item) for item in broken)


@then(
    "{count:d} drawn histories end with a whole set that bears the losses it"
    " has to"
)
def drawn_histories_end_whole(context, count):
    broken = []
    for seed in range(count):
        losses, history = replacements.draw(seed)
        faults = replacements.faults_after(history, losses, seed)
        if faults:
            broken.append((losses, history, seed, faults))
    assert not broken, "\n".join(str(item) for item in broken)
