"""`pollenroad report`: render bench results as one self-contained HTML page with plots."""

import html
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from pollenroad.operators.report_figures import make_figures

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; color: #222; }
table { border-collapse: collapse; margin: 0 0 1.5rem; }
td, th { border-bottom: 1px solid #ddd; padding: 0.2rem 0.8rem; text-align: left; }
.missed { color: #b00020; font-weight: 600; }
"""

_MISSING_LIBRARY = "plotly is missing; install the extra: pip install 'pollenroad[report]'"


def _iter_scalars(result: dict, prefix: str = "") -> Iterator[tuple[str, object]]:
    for name, value in result.items():
        if isinstance(value, dict) and len(prefix) < 20:
            yield from _iter_scalars(value, f"{prefix}{name}.")
        elif not isinstance(value, dict | list):
            yield f"{prefix}{name}", value


def _iter_section(name: str, result: dict, plots: list[str]) -> Iterator[str]:
    yield f"<h2>{html.escape(name)}</h2>"
    if result.get("ok") is False:
        yield "<p class=missed>At least one target is missed.</p>"
    elif result.get("ok"):
        yield "<p>Every target holds.</p>"
    yield from plots
    yield "<details><summary>All values</summary><table>"
    for key, value in _iter_scalars(result):
        yield f"<tr><th>{html.escape(key)}</th><td>{html.escape(str(value))}</td></tr>"
    yield "</table></details>"


def _read(path: str) -> tuple[str, dict]:
    """Read the name and result of a bench: the whole file, or its last line with JSON.

    Raises:
        ValueError: If there is no JSON object.
        OSError: If the file cannot be read.
    """
    text = Path(path).read_text()
    lines = [line for line in text.splitlines() if line.startswith("{")]
    try:
        result = json.loads(text)
    except ValueError:
        result = json.loads(lines[-1] if lines else "")
    if not isinstance(result, dict):
        raise ValueError("not a JSON object")
    return result.get("bench") or Path(path).stem, result


def _page(results: list[tuple[str, dict]]) -> str:
    import plotly.io

    body = []
    library = "inline"
    for name, result in results:
        plots = []
        for figure in make_figures(name, result):
            plots.append(plotly.io.to_html(figure, full_html=False, include_plotlyjs=library))
            library = False
        body += _iter_section(name, result, plots)
    return (
        "<!doctype html><html lang=en><head><meta charset=utf-8><title>pollenroad report</title>"
        f"<style>{_STYLE}</style></head><body><h1>pollenroad report</h1>"
        f"{''.join(body)}</body></html>\n"
    )


def run(*results: str, out: str = "report.html") -> int:
    """Render bench results as one HTML page that loads nothing from the network.

    Args:
        results: Files from `pollenroad bench NAME --out FILE`, or with its printed output.
        out: The page to write.

    Returns:
        0 if the page is written, 1 if a result cannot be read or plotly is missing.
    """
    if not results:
        print("give at least one file with a bench result", file=sys.stderr)
        return 1
    try:
        read = [_read(path) for path in results]
        page = _page(read)
    except ModuleNotFoundError:
        print(_MISSING_LIBRARY, file=sys.stderr)
        return 1
    except (OSError, ValueError) as error:
        print(f"cannot read the results: {error}", file=sys.stderr)
        return 1
    Path(out).write_text(page)
    print(f"wrote {out}: {', '.join(name for name, _ in read)}")
    return 0
