"""Interfaces, clients and in-memory versions of the platform services."""
