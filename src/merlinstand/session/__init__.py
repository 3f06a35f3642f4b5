"""What gateways and coordinators embed to talk to the control group."""
