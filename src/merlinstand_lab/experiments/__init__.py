"""Paired experiments on the simulator: variants, seeds, measures, confidence intervals."""
