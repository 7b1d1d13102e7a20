"""Command line for operators: check files, watch the fleet, read logs."""
