"""Operators' command line: check what is to be published, watch the fleet."""
