"""Measured slopes of cost against size, and the target size they are held against."""
