"""Membership without a leader: members that probe one another over UDP datagrams."""
