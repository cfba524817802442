"""I/O layer of one daemon: the tasks that own sockets and timers and drive the cores.

It decodes bytes into events for the cores, and encodes their actions as bytes.
"""
