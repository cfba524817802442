"""Stateful fuzzing of the cores against an oracle."""
