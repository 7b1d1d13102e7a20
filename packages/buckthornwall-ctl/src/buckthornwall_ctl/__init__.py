"""Command line for operators: check files before publication, watch the fleet, read logs."""
