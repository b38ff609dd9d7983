"""The admin server: the second address, at which operators and the load balancer send commands."""
