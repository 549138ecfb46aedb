"""Documents name only files that are there."""

import re

import pytest

from tests.support.paths import ROOT

DOCUMENTS = ["README.md", "docs/architecture.md", "docs/on-call.md", "docs/design.md", "docs/ROADMAP.md"]
DOCUMENTS += sorted(
    str(path.relative_to(ROOT)) for folder in ("design", "operators") for path in (ROOT / "docs" / folder).glob("*.md")
)
PATH = re.compile(r"`((?:yardbank|tests|benchmarks|deploy|examples|fuzz)/[\w./*{},-]+)`")
LINK = re.compile(r"\]\((?!https?:)([^)#]+)")


def alternatives(path):
    """``a/{b,c}.py`` as the paths that it stands for."""
    before, brace, rest = path.partition("{")
    if not brace:
        return [path]
    inside, _, after = rest.partition("}")
    return [f"{before}{one}{after}" for one in inside.split(",")]


@pytest.mark.parametrize("document", DOCUMENTS)
def test_every_path_and_link_of_a_document_leads_somewhere(document):
    file = ROOT / document
    text = file.read_text()
    named = [path for found in PATH.findall(text) for path in alternatives(found)]
    absent = [path for path in named if not list(ROOT.glob(path.rstrip("/")))]
    absent += [link for link in LINK.findall(text) if not (file.parent / link).exists()]
    assert absent == []
