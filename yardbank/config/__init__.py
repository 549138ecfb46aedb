"""Settings in HCL: parsed, validated against a schema, and converted to the parameters of the components."""

from yardbank.config.load import ConfigError, load, load_text
from yardbank.config.schema import Config

__all__ = ["Config", "ConfigError", "load", "load_text"]
