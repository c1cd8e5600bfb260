"""Steps for the metrics of a process."""

from behave import then

from _coltsfootroad.shell import metrics


@then("a gauge whose value is {value} is served as {number}")
def gauge_is_served(_, value, number):
    shown = 7
    if value.endswith(" digits"):
        shown = int("7" * int(value.removesuffix(" digits")))
    served = metrics.Metrics.start("test")
    served.gauge("colts_test_version", "A version", lambda: shown)
    lines = served.text().decode().splitlines()
    (line,) = [n for n in lines if n.startswith("colts_test_version")]
    assert float(line.split()[-1]) == float(number), line
