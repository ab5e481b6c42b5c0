"""Tests of the decisions about rollouts."""
