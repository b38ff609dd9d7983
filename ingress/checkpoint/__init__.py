"""Checkpoints on disk: the file format, the writer, and recovery after a crash."""
