"""HTTP gateway: forwards each request to a target chosen by a routing table."""
