"""Builds the LDAP components from the settings: classifier, front end options, backend options."""

from __future__ import annotations

from yardbank.config import Config, build
from yardbank.config.schema import Listener
from yardbank.directory import naming
from yardbank.ldap.backend import BackendOptions
from yardbank.ldap.classify import SCOPES, Classifier, Rule
from yardbank.ldap.front import FrontOptions


def classifier(config: Config) -> Classifier:
    """The classifier of operations, with rules from the match blocks of the classes."""
    rules = tuple(
        Rule(
            request_class.name,
            frozenset(match.operation),
            naming.fold(match.base),
            frozenset(int(SCOPES[scope]) for scope in match.scope),
            frozenset(name.lower() for name in match.attribute),
            frozenset(naming.fold(name) for name in match.identity),
        )
        for request_class in config.classes
        for match in request_class.match
    )
    suffixes = {group.name: group.suffix for group in config.group}
    classes = {request_class.name: request_class for request_class in build.request_classes(config)}
    return Classifier(rules, suffixes, build.STRICT_READ, build.STRICT_WRITE, classes)


def front_options(config: Config, listener: Listener) -> FrontOptions:
    """Options of one listener: identities, session binding, limits."""
    return FrontOptions(
        identities={naming.fold(identity.name): identity.password for identity in config.identity},
        anonymous=listener.anonymous,
        session_by=listener.session,
        naming_contexts=tuple(group.suffix for group in config.group),
        max_message=listener.max_message,
        max_outstanding=listener.max_outstanding,
        max_unread=listener.max_unread,
        max_connections=listener.max_connections,
        parts=listener.parts,
        parts_memory=listener.parts_memory,
    )


def backend_options(config: Config) -> BackendOptions:
    """Credentials for binding to servers, and the attribute that identifies the primary."""
    block = config.backend[0]
    return BackendOptions(
        bind_dn=block.bind_dn,
        bind_password=block.bind_password,
        suffixes={group.name: group.suffix for group in config.group},
        role_attribute=block.role_attribute,
        primary_value=block.primary_value,
    )
