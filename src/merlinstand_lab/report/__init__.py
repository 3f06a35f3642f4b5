"""Reports of experiments: an HTML page with plots."""
