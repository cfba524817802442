"""Quotas of workspaces over the whole fleet: tokens that owner daemons hand out to entries."""
