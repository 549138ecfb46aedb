"""Tests of server_list."""
