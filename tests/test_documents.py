"""Checks that paths and links in documents lead to existing files."""

import re

import pytest

from tests.support.paths import ROOT

DOCUMENTS = ["README.md", "docs/architecture.md", "docs/on-call.md", "docs/design.md", "docs/ROADMAP.md"]
DOCUMENTS += sorted(
    str(path.relative_to(ROOT)) for folder in ("design", "operators") for path in (ROOT / "docs" / folder).glob("*.md")
)
PATH = re.compile(r"`((?:yardbank|tests|benchmarks|deploy|examples|fuzz)/[\w./*{},-]+)`")
LINK = re.compile(r"\]\((?!https?:)([^)#]+)")


def expand_braces(path):
    """Expands braces: ``a/{b,c}.py`` is ``a/b.py`` and ``a/c.py``."""
    prefix, brace, after_brace = path.partition("{")
    if not brace:
        return [path]
    inside, _, suffix = after_brace.partition("}")
    return [f"{prefix}{choice}{suffix}" for choice in inside.split(",")]


@pytest.mark.parametrize("document", DOCUMENTS)
def test_every_path_and_link_in_a_document_exists(document):
    file = ROOT / document
    text = file.read_text()
    named = [path for found in PATH.findall(text) for path in expand_braces(found)]
    missing = [path for path in named if not list(ROOT.glob(path.rstrip("/")))]
    missing += [link for link in LINK.findall(text) if not (file.parent / link).exists()]
    assert missing == []
