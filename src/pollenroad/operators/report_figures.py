"""The plots of `pollenroad report` by bench. Requires plotly, from the extra `report`."""

from collections.abc import Callable, Iterator, Mapping

_BLUE, _ORANGE, _GREY, _RED = "#2a6f97", "#e09f3e", "#8d99ae", "#b00020"
_HEIGHT_PX = 380


def _bars(title: str, unit: str, groups: Mapping[str, Mapping[str, float]], targets=()):
    """Return a figure of grouped bars.

    Args:
        title: Title of the figure.
        unit: Title of the value axis.
        groups: Values by category, by name of the series.
        targets: Values at which a dashed line is drawn.
    """
    import plotly.graph_objects as go

    colours = (_BLUE, _ORANGE, _GREY)
    bars = [
        go.Bar(name=name, x=list(values), y=list(values.values()), marker_color=colour)
        for (name, values), colour in zip(groups.items(), colours, strict=False)
    ]
    figure = go.Figure(bars)
    for target in targets:
        figure.add_hline(y=target, line_dash="dash", line_color=_RED)
    figure.update_xaxes(type="category")
    return _set_layout(figure, title, unit)


def _line(title: str, unit: str, values: Mapping[float, float], targets=()):
    import plotly.graph_objects as go

    figure = go.Figure(go.Scatter(x=list(values), y=list(values.values()), line_color=_BLUE))
    for target in targets:
        figure.add_hline(y=target, line_dash="dash", line_color=_RED)
    figure.update_xaxes(title="seconds")
    return _set_layout(figure, title, unit)


def _set_layout(figure, title: str, unit: str):
    return figure.update_layout(
        title=title, yaxis_title=unit, height=_HEIGHT_PX, template="plotly_white", barmode="group"
    )


def _tail(result: dict) -> Iterator:
    groups = {"p99": result["p99_ms"], "p99.9": result["p999_ms"]}
    yield _bars("Tail latency by routing policy", "ms", groups)


def _failure_domain(result: dict) -> Iterator:
    by_second = result.get("worth_served_by_second")
    if by_second:
        series = {float(second): share for second, share in by_second.items()}
        title = "Served worth while a failure domain leaves and returns"
        yield _line(title, "served / offered worth", series, [0.97])
    groups = {"served / offered worth": result["worth_served_ratio"]}
    yield _bars("Served worth: whole run and worst second", "share", groups, [0.97, 0.999])


def _limits(result: dict) -> Iterator:
    groups = {"offered": result["offered_over_limit"], "admitted": result["admitted_over_limit"]}
    capped = {name: {k: min(v, 2.5) for k, v in values.items()} for name, values in groups.items()}
    title = "Offered and admitted, by offered load over the limit (bars end at 2.5)"
    yield _bars(title, "share of the limit", capped, [0.97, 1.03])
    partition = result["partition"]
    worst = {
        "measured": partition["worst_second_over_limit"],
        "stated bound": partition["bound_over_limit"],
    }
    yield _bars("Worst second of a partition", "share of the limit", {"": worst}, [1.5])
    names = ("double_skewed", "double_entry_lost", "double_partition")
    groups = {
        mechanism: {name: rows[name]["worst_second_over_limit"] for name in names}
        for mechanism, rows in result["mechanisms"].items()
    }
    yield _bars("Worst second by mechanism, offered twice the limit", "share of the limit", groups)


def _config(result: dict) -> Iterator:
    spread = {
        "calm": {"p50": result["calm_in_force_p50_s"], "max": result["calm_in_force_max_s"]},
        "with faults": {"p50": result["in_force_p50_s"], "max": result["in_force_max_s"]},
    }
    yield _bars("Time until a change is in force everywhere", "s", spread, [16])
    reads = {"reads a second": result["platform_reads_per_s_at"]}
    yield _bars("Reads of the platform by size of the fleet", "reads a second", reads)


def _capacity(result: dict) -> Iterator:
    shares = {
        name: round(row["value_at_design"] / row["limit"], 4)
        for name, row in result["limits"].items()
    }
    title = "Values at the design size against their limits"
    yield _bars(title, "share of the limit", {"": shares}, [1.0])


_FIGURES_BY_BENCH: dict[str, Callable[[dict], Iterator]] = {
    "tail": _tail,
    "failure-domain": _failure_domain,
    "limits": _limits,
    "config": _config,
    "capacity": _capacity,
}


def make_figures(bench: str, result: dict) -> list:
    """Return the plots of a bench; empty if it has none or the result lacks a required key."""
    make = _FIGURES_BY_BENCH.get(bench)
    if make is None:
        return []
    try:
        return list(make(result))
    except KeyError:
        return []
