"""Tests of ldap."""
