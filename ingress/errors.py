"""The base class of the exceptions that this package raises deliberately."""


class IngressError(Exception):
    """Input that the program can't use; the message says what it is and why."""
