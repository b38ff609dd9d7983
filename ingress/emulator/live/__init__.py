"""Experiments on real sockets: real ingress processes, an open load, and fake servers, discovery and counter."""
