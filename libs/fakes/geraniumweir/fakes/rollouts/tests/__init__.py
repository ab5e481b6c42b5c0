"""Tests that play rollouts."""
