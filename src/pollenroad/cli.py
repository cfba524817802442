"""The command line: `pollenroad COMMAND ...`, by fire.

Arguments are checked against the command's signature before fire calls it, since fire calls a
function first and complains about surplus arguments afterwards.
"""

import importlib
import inspect
import os
import sys
from collections.abc import Callable, Iterator

import fire
from fire import decorators

from pollenroad.exceptions import PollenroadError

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

SUMMARY_BY_COMMAND = {
    "daemon": "run the daemon of one VM",
    "check": "check templates, parameters, documents or settings",
    "render": "turn templates and parameters into documents",
    "diff": "say in plain sentences what a change does",
    "status": "show every daemon's state, and why",
    "audit": "show accepted and refused configuration over time",
    "explain": "tell what happened to one request",
    "logs": "put the log lines of one request together, and say the cause",
    "call": "make one call through a daemon",
    "demo": "run the Cooperative's example on this machine",
    "bench": "measure",
    "report": "turn bench results into a page with plots",
    "replay": "replay recorded traces against their stated outcomes",
    "stand-in": "run a stand-in server or platform",
}

_PARSER_BY_TYPE = {str: str, int: int, float: float}


class UsageError(Exception):
    """The command line does not fit the command's parameters."""


def _load(command: str) -> Callable[..., int]:
    module = importlib.import_module(f"pollenroad.commands.{command.replace('-', '_')}")
    return module.run


def _usage() -> str:
    lines = ["usage: pollenroad COMMAND [ARGUMENT ...]", "", "commands:"]
    lines += [f"  {name:<10} {summary}" for name, summary in SUMMARY_BY_COMMAND.items()]
    lines += ["", "pollenroad COMMAND --help tells more.", ""]
    return "\n".join(lines)


def _check_value(name: str, annotation: type, text: str) -> None:
    parse = _PARSER_BY_TYPE.get(annotation, str)
    try:
        parse(text)
    except ValueError:
        raise UsageError(f"{name}: {text!r} is not a {annotation.__name__}") from None


def _positionals(arguments: list[str], parameters: dict, given: set[str]) -> Iterator[str]:
    """Check every flag, note its name in `given`, and yield the positional arguments."""
    rest = iter(arguments)
    for word in rest:
        if not word.startswith("-") or word == "-":
            yield word
            continue
        name, equals, value = word.lstrip("-").partition("=")
        name = name.replace("-", "_")
        parameter = parameters.get(name)
        if not word.startswith("--") or parameter is None:
            raise UsageError(f"unknown flag {word.partition('=')[0]}")
        if name in given:
            raise UsageError(f"flag {word.partition('=')[0]} given twice")
        given.add(name)
        if parameter.annotation is bool:
            if equals:
                raise UsageError(f"flag --{name} takes no value")
            continue
        if not equals:
            value = next(rest, None)
            if value is None:
                raise UsageError(f"flag {word} needs a value")
        _check_value(f"--{name}", parameter.annotation, value)


def check_arguments(function: Callable, arguments: list[str]) -> None:
    """Check arguments against a function's parameters without calling it.

    Args:
        function: The command.
        arguments: Words of the command line after the command's name.

    Raises:
        UsageError: If a flag is unknown or doubled, or an argument is missing or surplus.
    """
    parameters = dict(inspect.signature(function).parameters)
    variadic = [p for p in parameters.values() if p.kind is p.VAR_POSITIONAL]
    named = {n: p for n, p in parameters.items() if p.kind is not p.VAR_POSITIONAL}
    given: set[str] = set()
    positionals = list(_positionals(arguments, named, given))
    open_names = [n for n, p in named.items() if n not in given and p.kind is not p.KEYWORD_ONLY]
    if len(positionals) > len(open_names) and not variadic:
        raise UsageError(f"unexpected argument {positionals[len(open_names)]!r}")
    for name, value in zip(open_names, positionals, strict=False):
        _check_value(name, named[name].annotation, value)
        given.add(name)
    for name, parameter in named.items():
        if parameter.default is parameter.empty and name not in given:
            raise UsageError(f"missing argument {name}")


def _parsers(function: Callable) -> dict[str, Callable]:
    parameters = inspect.signature(function).parameters.values()
    named = (p for p in parameters if p.kind is not p.VAR_POSITIONAL)
    return {p.name: _PARSER_BY_TYPE[p.annotation] for p in named if p.annotation in _PARSER_BY_TYPE}


def _call(command: str, function: Callable, arguments: list[str]) -> int:
    parsed = decorators.SetParseFns(**_parsers(function))(function)
    if any(p.kind is p.VAR_POSITIONAL for p in inspect.signature(function).parameters.values()):
        parsed = decorators.SetParseFn(str)(parsed)
    result = fire.Fire(parsed, arguments, f"pollenroad {command}", serialize=lambda _: None)
    return result if isinstance(result, int) else EXIT_DONE


def _run(arguments: list[str]) -> int:
    if not arguments or arguments[0] in ("-h", "--help", "help"):
        print(_usage())
        return EXIT_DONE if arguments else EXIT_USAGE
    command, *rest = arguments
    if command not in SUMMARY_BY_COMMAND:
        raise UsageError(f"unknown command {command!r}")
    function = _load(command)
    if "--help" in rest or "-h" in rest:
        print(f"pollenroad {command}{inspect.signature(function)}\n\n{inspect.getdoc(function)}")
        return EXIT_DONE
    check_arguments(function, rest)
    return _call(command, function, rest)


def main() -> None:
    """Run the command line; the process ends with 0 done, 1 refused or failed, 2 wrong usage."""
    from gevent import monkey

    monkey.patch_all()
    os.environ.setdefault("PAGER", "cat")
    try:
        sys.exit(_run(sys.argv[1:]))
    except UsageError as error:
        print(f"pollenroad: {error}\n\n{_usage()}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except PollenroadError as error:
        print(f"pollenroad: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
