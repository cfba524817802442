"""The commands of the command line, one module each with a `run` function."""
