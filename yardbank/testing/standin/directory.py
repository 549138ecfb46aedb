"""A small in-memory directory tree with write and search operations. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.directory import naming
from yardbank.directory.codes import Code, Scope
from yardbank.ldap import messages as m
from yardbank.ldap.match import matches, wanted_attributes, without_values


@dataclass(slots=True)
class Entry:
    """One entry. Attributes are keyed by case-folded name and keep their original name."""

    dn: str
    attributes: dict[str, tuple[str, list[bytes]]] = field(default_factory=dict)
    csn: str = ""

    def copy(self) -> Entry:
        """Returns an independent copy."""
        return Entry(self.dn, {key: (name, list(values)) for key, (name, values) in self.attributes.items()}, self.csn)

    def values(self, name: str) -> list[bytes]:
        """The values of an attribute, including the operational attribute entryCSN."""
        if name.lower() == "entrycsn":
            return [self.csn.encode()] if self.csn else []
        return self.attributes.get(name.lower(), ("", []))[1]


Outcome = tuple[int, str]  # result code, diagnostic
OK: Outcome = (Code.SUCCESS, "")


class Directory:
    """A tree of entries under a suffix."""

    def __init__(self, suffix: str) -> None:
        self.suffix = naming.fold(suffix)
        self.entries: dict[str, Entry] = {
            self.suffix: Entry(suffix, {"objectclass": ("objectClass", [b"top", b"domain"])})
        }

    def apply(self, request: m.Request, csn: str) -> Outcome:
        """Applies a write atomically."""
        match request:
            case m.AddRequest():
                return self._add(request, csn)
            case m.ModifyRequest():
                return self._modify(request, csn)
            case m.DeleteRequest():
                return self._delete(request)
            case m.ModifyDNRequest():
                return self._rename(request, csn)
        return Code.UNWILLING, "no write"

    def _add(self, request: m.AddRequest, csn: str) -> Outcome:
        dn = naming.fold(request.entry)
        if dn in self.entries:
            return Code.ENTRY_EXISTS, ""
        if naming.parent(dn) not in self.entries:
            return Code.NO_SUCH_OBJECT, "the entry above does not exist"
        entry = Entry(request.entry, csn=csn)
        for name, values in request.attributes:
            entry.attributes.setdefault(name.lower(), (name, []))[1].extend(values)
        self.entries[dn] = entry
        return OK

    def _modify(self, request: m.ModifyRequest, csn: str) -> Outcome:
        dn = naming.fold(request.entry)
        if dn not in self.entries:
            return Code.NO_SUCH_OBJECT, ""
        entry = self.entries[dn].copy()
        for kind, name, values in request.changes:
            current = entry.attributes.get(name.lower(), (name, []))[1]
            if kind == 0:
                if any(value in current for value in values):
                    return Code.ATTRIBUTE_OR_VALUE_EXISTS, name
                current = current + list(values)
            elif kind == 1:
                if not current or any(value not in current for value in values):
                    return Code.NO_SUCH_ATTRIBUTE, name
                current = [value for value in current if values and value not in values]
            elif kind == 2:
                current = list(values)
            else:
                try:
                    current = [str(int(value) + int(values[0])).encode() for value in current]
                except (ValueError, IndexError):
                    return Code.UNWILLING, f"{name} cannot be incremented"
            if current:
                entry.attributes[name.lower()] = name, current
            else:
                entry.attributes.pop(name.lower(), None)
        entry.csn = csn
        self.entries[dn] = entry
        return OK

    def _children(self, dn: str) -> list[str]:
        return [key for key in self.entries if key != dn and naming.under(key, dn)]

    def _delete(self, request: m.DeleteRequest) -> Outcome:
        dn = naming.fold(request.entry)
        if dn not in self.entries:
            return Code.NO_SUCH_OBJECT, ""
        if self._children(dn):
            return Code.NOT_ALLOWED_ON_NON_LEAF, ""
        del self.entries[dn]
        return OK

    def _rename(self, request: m.ModifyDNRequest, csn: str) -> Outcome:
        dn = naming.fold(request.entry)
        if dn not in self.entries:
            return Code.NO_SUCH_OBJECT, ""
        superior = request.new_superior if request.new_superior is not None else request.entry.partition(",")[2]
        if naming.fold(superior) not in self.entries:
            return Code.NO_SUCH_OBJECT, "the new superior does not exist"
        target = naming.fold(f"{request.new_rdn},{superior}")
        if target in self.entries and target != dn:
            return Code.ENTRY_EXISTS, ""
        for key in [dn, *self._children(dn)]:
            entry = self.entries.pop(key).copy()
            moved = target + key[len(dn) :]
            entry.dn = f"{request.new_rdn},{superior}" if key == dn else moved
            self.entries[moved] = entry
        entry = self.entries[target]
        entry.csn = csn
        name, _, value = request.new_rdn.partition("=")
        old_name, _, old_value = request.entry.partition(",")[0].partition("=")
        if request.delete_old and old_name.lower() in entry.attributes:
            shown, current = entry.attributes[old_name.lower()]
            entry.attributes[old_name.lower()] = shown, [v for v in current if v.lower() != old_value.lower().encode()]
        shown, current = entry.attributes.setdefault(name.lower(), (name, []))
        if value.encode() not in current:
            current.append(value.encode())
        return OK

    def search(self, request: m.SearchRequest) -> tuple[Outcome, list[Entry]]:
        """The entries that match a search, in insertion order."""
        base = naming.fold(request.base)
        if base not in self.entries:
            return (Code.NO_SUCH_OBJECT, ""), []
        if request.scope == Scope.BASE:
            keys = [base]
        elif request.scope == Scope.ONE:
            keys = [key for key in self.entries if naming.parent(key) == base]
        else:
            keys = [key for key in self.entries if naming.under(key, base)]
            if request.scope == Scope.SUBORDINATE:
                keys.remove(base)
        return OK, [self.entries[key] for key in keys if matches(request.filter, self.entries[key].values)]

    def compare(self, request: m.CompareRequest) -> Outcome:
        """Whether an entry holds a value."""
        entry = self.entries.get(naming.fold(request.entry))
        if entry is None:
            return Code.NO_SUCH_OBJECT, ""
        current = entry.values(request.attribute)
        if not current:
            return Code.NO_SUCH_ATTRIBUTE, ""
        found = any(value.lower() == request.value.lower() for value in current)
        return (Code.COMPARE_TRUE if found else Code.COMPARE_FALSE), ""


def search_entry(entry: Entry, request: m.SearchRequest, extra: m.Attributes = ()) -> m.SearchEntry:
    """The entry with the attributes that a search requests; ``extra``: operational attributes."""
    asked = [name.lower() for name in request.attributes]
    operational = "+" in asked
    shown = wanted_attributes(tuple((name, tuple(values)) for name, values in entry.attributes.values()), request)
    if entry.csn and ("entrycsn" in asked or operational):
        shown.append(("entryCSN", (entry.csn.encode(),)))
    shown += [(name, values) for name, values in extra if values and (name.lower() in asked or operational)]
    return m.SearchEntry(entry.dn, without_values(tuple(shown)) if request.types_only else tuple(shown))
