"""The commands of the command line: one module per command, each with a `run` function."""
