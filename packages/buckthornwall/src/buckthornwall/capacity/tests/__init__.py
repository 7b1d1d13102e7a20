"""Tests of the account of what is held for clients."""
