"""The endpoint registry: stores the list of endpoints and notifies ingresses of changes."""
