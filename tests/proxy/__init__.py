"""Tests of `pollenroad.proxy`, and what they share."""
