"""The client side: listener, client connections, commands and the requests in flight."""
