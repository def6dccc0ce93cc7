"""Decisions of a router, without I/O of their own.

The modules take events with the time and return actions or values. Two kinds
of processes use them:

- The router process of ``dotterelhatch.daemon`` runs a ``node.Node``. Each
  router coordinates some targets and issues grants for their slots, in an
  order that is fair to organisations.
- The gateway of ``dotterelhatch.gateway`` places each request itself with a
  ``balancer.Balancer``, by the loads that gateways report to each other in
  heartbeats.
"""
