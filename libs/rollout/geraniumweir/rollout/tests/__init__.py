"""Tests of the decisions in rollouts."""
