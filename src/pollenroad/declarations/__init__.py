"""Declarations of operators: decoding, checks, rendering and sentences that describe changes.

Its modules read JSON files and documents, and return documents, problems and sentences.
"""
