"""The guard's side of a call: it alone sends requests to the server on its VM.

Inputs are attempts, answers and the health of the server; outputs are requests to the server,
answers and refusals to entries, and load reports.
"""
