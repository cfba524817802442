"""Account of the bytes that a daemon holds: requests, responses and frames, in both roles."""
