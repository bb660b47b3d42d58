"""Benchmarks that compare measured values with bounds."""
