"""The configuration: its document, the mapping of its names to typed settings, its versions and its changes."""
