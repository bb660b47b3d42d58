"""Benchmarks and measurements against stated bounds."""
