"""Tests of yardbank.ldap and yardbank.spread."""
