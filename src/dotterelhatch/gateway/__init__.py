"""Serving by a routing table: requests in, one target each, answers back."""
