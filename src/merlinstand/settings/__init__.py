"""The deployment and configuration files: typed, checked, documented."""
