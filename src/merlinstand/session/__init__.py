"""Session with the control group, which gateways and coordinators embed."""
