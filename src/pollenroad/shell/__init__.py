"""The tasks that own sockets and timers, round the cores of one daemon.

Bytes and settings go in, become events for the cores, and their actions leave as bytes.
"""
