"""Data of the demo: its rules and its workloads."""
