"""Command line interface, `pollenroad COMMAND ...`, built on fire.

Arguments are checked against the command's signature beforehand, because fire reports surplus
arguments only after it has called the function.
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
    "check-config": "check a configuration of the proxy before it is sent",
    "render": "render documents from templates and parameters",
    "diff": "describe in plain sentences what a change does",
    "status": "show the state of every daemon and the reason for it",
    "audit": "show accepted and refused configuration over time",
    "explain": "explain what happened to one request",
    "logs": "collect the log lines of one request and state the cause",
    "call": "make one call through a daemon",
    "demo": "run the Cooperative's example locally",
    "bench": "measure",
    "report": "render bench results as a page with plots",
    "replay": "replay recorded traces and check their expected outcomes",
    "stand-in": "run a stand-in server or platform",
}

_PARSER_BY_TYPE = {str: str, int: int, float: float}


class UsageError(Exception):
    """The arguments do not match the command's parameters."""


def _load_command(command: str) -> Callable[..., int]:
    module = importlib.import_module(f"pollenroad.commands.{command.replace('-', '_')}")
    return module.run


def _usage() -> str:
    lines = ["usage: pollenroad COMMAND [ARGUMENT ...]", "", "commands:"]
    lines += [f"  {name:<12} {summary}" for name, summary in SUMMARY_BY_COMMAND.items()]
    lines += ["", "pollenroad COMMAND --help shows the arguments of a command.", ""]
    return "\n".join(lines)


def _check_value(name: str, annotation: type, text: str) -> None:
    parse = _PARSER_BY_TYPE.get(annotation, str)
    try:
        parse(text)
    except ValueError:
        raise UsageError(f"{name}: {text!r} is not a {annotation.__name__}") from None


def _iter_positionals(arguments: list[str], parameters: dict, given: set[str]) -> Iterator[str]:
    """Yield the positional arguments; check every flag and add its name to `given`."""
    remaining = iter(arguments)
    for argument in remaining:
        if not argument.startswith("-") or argument == "-":
            yield argument
            continue
        name, equals, value = argument.lstrip("-").partition("=")
        name = name.replace("-", "_")
        parameter = parameters.get(name)
        if not argument.startswith("--") or parameter is None:
            raise UsageError(f"unknown flag {argument.partition('=')[0]}")
        if name in given:
            raise UsageError(f"flag {argument.partition('=')[0]} given twice")
        given.add(name)
        if parameter.annotation is bool:
            if equals:
                raise UsageError(f"flag --{name} takes no value")
            continue
        if not equals:
            value = next(remaining, None)
            if value is None:
                raise UsageError(f"flag {argument} needs a value")
        _check_value(f"--{name}", parameter.annotation, value)


def check_arguments(function: Callable, arguments: list[str]) -> None:
    """Check arguments against a command's parameters without calling it.

    Args:
        function: Function of the command.
        arguments: Arguments that follow the name of the command.

    Raises:
        UsageError: If a flag is unknown or repeated, an argument is missing or surplus, or a value
            has the wrong type.
    """
    parameters = dict(inspect.signature(function).parameters)
    variadic = [p for p in parameters.values() if p.kind is p.VAR_POSITIONAL]
    named = {n: p for n, p in parameters.items() if p.kind is not p.VAR_POSITIONAL}
    given: set[str] = set()
    positionals = list(_iter_positionals(arguments, named, given))
    unfilled = [n for n, p in named.items() if n not in given and p.kind is not p.KEYWORD_ONLY]
    if len(positionals) > len(unfilled) and not variadic:
        raise UsageError(f"unexpected argument {positionals[len(unfilled)]!r}")
    for name, value in zip(unfilled, positionals, strict=False):
        _check_value(name, named[name].annotation, value)
        given.add(name)
    for name, parameter in named.items():
        if parameter.default is parameter.empty and name not in given:
            raise UsageError(f"missing argument {name}")


def _parsers_by_parameter(function: Callable) -> dict[str, Callable]:
    parameters = inspect.signature(function).parameters.values()
    named = (p for p in parameters if p.kind is not p.VAR_POSITIONAL)
    return {p.name: _PARSER_BY_TYPE[p.annotation] for p in named if p.annotation in _PARSER_BY_TYPE}


def _call_command(command: str, function: Callable, arguments: list[str]) -> int:
    decorated = decorators.SetParseFns(**_parsers_by_parameter(function))(function)
    if any(p.kind is p.VAR_POSITIONAL for p in inspect.signature(function).parameters.values()):
        decorated = decorators.SetParseFn(str)(decorated)
    result = fire.Fire(decorated, arguments, f"pollenroad {command}", serialize=lambda _: None)
    return result if isinstance(result, int) else EXIT_DONE


def _run_command_line(arguments: list[str]) -> int:
    if not arguments or arguments[0] in ("-h", "--help", "help"):
        print(_usage())
        return EXIT_DONE if arguments else EXIT_USAGE
    command, *rest = arguments
    if command not in SUMMARY_BY_COMMAND:
        raise UsageError(f"unknown command {command!r}")
    function = _load_command(command)
    if "--help" in rest or "-h" in rest:
        print(f"pollenroad {command}{inspect.signature(function)}\n\n{inspect.getdoc(function)}")
        return EXIT_DONE
    check_arguments(function, rest)
    return _call_command(command, function, rest)


def main() -> None:
    """Run the command line and exit: 0 on success, 1 on refusal or failure, 2 on wrong usage."""
    from gevent import monkey

    monkey.patch_all()
    os.environ.setdefault("PAGER", "cat")
    try:
        sys.exit(_run_command_line(sys.argv[1:]))
    except UsageError as error:
        print(f"pollenroad: {error}\n\n{_usage()}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except PollenroadError as error:
        print(f"pollenroad: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
