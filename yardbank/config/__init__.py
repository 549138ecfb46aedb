"""Settings as HCL: read, checked against a schema, and turned into what the parts are made with."""

from yardbank.config.load import ConfigError, load, load_text
from yardbank.config.schema import Config

__all__ = ["Config", "ConfigError", "load", "load_text"]
