"""Measurements that repeat by one named command."""
