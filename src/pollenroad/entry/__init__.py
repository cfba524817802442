"""The entry's side of a call: endpoint selection, retries and hedges.

Inputs are calls, answers and load reports from guards; outputs are attempts for guards and answers
to callers.
"""
