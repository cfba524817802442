"""Gossip of documents and membership between daemons, and the schedule of platform reads.

Input: documents, lists of VMs and messages from peers. Output: accepted documents, messages to
peers and requests to the platform.
"""
