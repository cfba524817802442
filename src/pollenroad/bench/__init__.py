"""Measurements on real processes, one module each, over one shared runner."""
