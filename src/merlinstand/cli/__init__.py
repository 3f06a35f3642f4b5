"""The command line: daemons, and the operators' client."""
