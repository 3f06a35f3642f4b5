"""Records that the stand-ins keep of what they saw: the only evidence of the checkers."""
