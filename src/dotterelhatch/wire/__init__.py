"""Protobuf encoding of the frames that routers exchange."""
