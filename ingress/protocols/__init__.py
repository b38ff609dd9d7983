"""Encoding and decoding of wire formats, independent of sockets."""
