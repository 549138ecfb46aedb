"""Classifies statements by their effect on the server and the session, with PostgreSQL's own parser (pglast). No I/O.

Unknown statements, statements that cannot be parsed, and texts that mix kinds get the strictest class: a write after
which no other client may use the session. A function counts as read-only only if it is known to be; operators can add
their own functions.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson
from pglast.parser import ParseError, parse_sql_json

MAX_STATEMENT_LENGTH = 1 << 20  # characters; a longer statement is not parsed


class Kind(Enum):
    """What kind of server or state a statement requires."""

    READ = "read"  # any server that is recent enough
    WRITE = "write"  # the primary only; never retried
    BEGIN = "begin"
    BEGIN_READ = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"  # also RELEASE and ROLLBACK TO
    SETTING = "setting"  # affects only the session or the transaction
    CURSOR = "cursor"  # belongs to the open transaction
    EMPTY = "empty"


class Taint(Enum):
    """Session state that a statement leaves behind."""

    SETTING = "a run-time parameter"
    TEMPORARY = "a temporary object"
    ADVISORY = "a session lock"
    LISTEN = "a channel"
    HELD_CURSOR = "a cursor that outlives its transaction"
    PREPARED = "a statement prepared by SQL"
    UNKNOWN = "nobody knows what"
    RESET = "nothing: the session is as new"  # DISCARD ALL


@dataclass(slots=True, frozen=True)
class Statement:
    """The class of a text. ``settings`` are the session parameters that it sets, with their values as text."""

    kind: Kind
    taints: frozenset[Taint] = frozenset()
    why: str = ""
    settings: tuple[tuple[str, str | None], ...] = ()


STRICTEST = Statement(Kind.WRITE, frozenset((Taint.UNKNOWN,)), "unknown: the strictest class")

_SAFE_FUNCTIONS = frozenset(
    """
    abs age array_agg array_append array_cat array_length array_position array_prepend array_remove array_to_string
    array_upper ascii avg bit_and bit_or bool_and bool_or btrim cardinality ceil ceiling char_length character_length
    chr clock_timestamp concat concat_ws corr count cume_dist current_database current_schema current_schemas
    current_setting current_user date date_bin date_part date_trunc decode degrees dense_rank div encode every exp
    extract first_value floor format generate_series generate_subscripts get_byte greatest host initcap int4range
    int8range inet isfinite json_agg json_array_elements json_array_length json_build_array json_build_object
    json_each json_each_text json_extract_path json_extract_path_text json_object json_object_agg json_object_keys
    json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
    jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_object_agg
    jsonb_object_keys jsonb_path_exists jsonb_path_query jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_typeof
    justify_days justify_hours lag last_value lead least left length ln localtimestamp log lower lower_inc lpad ltrim
    make_date make_interval make_time make_timestamp max md5 min mod mode now nth_value ntile nullif num_nonnulls
    num_nulls numrange obj_description octet_length overlay percent_rank percentile_cont percentile_disc
    pg_backend_pid pg_column_size pg_database_size pg_encoding_to_char pg_get_constraintdef pg_get_expr
    pg_get_indexdef pg_get_userbyid pg_get_viewdef pg_is_in_recovery pg_last_wal_receive_lsn pg_last_wal_replay_lsn
    pg_last_xact_replay_timestamp pg_postmaster_start_time pg_relation_size pg_size_pretty pg_table_is_visible
    pg_table_size pg_total_relation_size pg_type_is_visible pg_typeof pg_wal_lsn_diff phraseto_tsquery pi
    plainto_tsquery position power quote_ident quote_literal radians random range_merge rank regexp_count regexp_like
    regexp_match regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat
    replace reverse right round row_number row_to_json rpad rtrim scale session_user sha256 sha512 sign
    similar_to_escape split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg
    string_to_array string_to_table strpos substr substring sum timeofday timezone to_char to_date to_json to_jsonb
    to_number to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trunc ts_headline ts_rank
    tstzrange tsrange unnest upper upper_inc var_pop var_samp variance version websearch_to_tsquery width_bucket
    xmlagg col_description daterange format_type has_table_privilege has_schema_privilege has_database_privilege
    inet_server_addr inet_server_port like_escape shobj_description to_regclass to_regtype to_regproc gen_random_uuid
    """.split()  # noqa: SIM905
)
_ADVISORY = ("pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock", "pg_try_advisory_lock_shared")
_WRITES_INSIDE = ("InsertStmt", "UpdateStmt", "DeleteStmt", "MergeStmt")


def _named_nodes(tree: Any) -> Iterator[tuple[str, Any]]:
    """Yields every named node of a parse tree, parents first, without recursion since trees may be deep."""
    stack = [tree]
    while stack:
        part = stack.pop()
        if isinstance(part, dict):
            for name, value in part.items():
                if isinstance(value, dict | list):
                    yield name, value
                    stack.append(value)
        elif isinstance(part, list):
            stack.extend(part)


def _string_value(node: Any) -> str:
    value = node.get("String", {}) if isinstance(node, dict) else {}
    return str(value.get("sval", ""))


def _function_name(node: Any) -> str:
    """A function's name, with its schema unless that is pg_catalog: a namesake in another schema may do anything."""
    parts = [_string_value(part).lower() for part in node["funcname"]]
    return parts[-1] if len(parts) == 1 or parts[0] == "pg_catalog" else ".".join(parts)


def _function_taints(function: str) -> tuple[Taint, ...]:
    """Session state that a call of a function leaves behind."""
    if function in _ADVISORY:
        return (Taint.ADVISORY,)
    if function == "set_config":
        return (Taint.SETTING,)
    return ()


class Classifier:
    """Classifies statements by their text; the ``max_cached`` most recently used results are cached."""

    def __init__(self, safe_functions: Iterable[str] = (), max_cached: int = 10_000) -> None:
        self._safe = _SAFE_FUNCTIONS | {name.lower() for name in safe_functions}
        self._max_cached = max_cached
        self._cache: OrderedDict[str, Statement] = OrderedDict()
        self.hits = self.misses = 0

    def of(self, text: str) -> Statement:
        """The class of a text, which may contain several statements."""
        found = self._cache.get(text)
        if found is not None:
            self.hits += 1
            self._cache.move_to_end(text)
            return found
        self.misses += 1
        found = self._classify_text(text)
        if len(text) <= 64 << 10:  # one long text must not take the memory of thousands
            self._cache[text] = found
            if len(self._cache) > self._max_cached:
                self._cache.popitem(last=False)
        return found

    def _classify_text(self, text: str) -> Statement:
        if len(text) > MAX_STATEMENT_LENGTH:
            return Statement(Kind.WRITE, frozenset((Taint.UNKNOWN,)), f"longer than {MAX_STATEMENT_LENGTH}: not parsed")
        try:
            parsed = orjson.loads(parse_sql_json(text))
        except (ParseError, orjson.JSONDecodeError, RecursionError, UnicodeError, ValueError) as problem:
            return Statement(Kind.WRITE, frozenset((Taint.UNKNOWN,)), f"cannot be parsed: {str(problem)[:80]}")
        statements = [self._classify_statement(raw["stmt"]) for raw in parsed.get("stmts", ())]
        if not statements:
            return Statement(Kind.EMPTY, why="no statement")
        if len(statements) == 1:
            return statements[0]
        taints = frozenset(taint for one in statements for taint in one.taints)
        settings = tuple(pair for one in statements for pair in one.settings)
        if all(one.kind is Kind.READ for one in statements) and not taints:
            return Statement(Kind.READ, why="several reads")
        return Statement(Kind.WRITE, taints, "several statements of different kinds: the strictest", settings)

    def _classify_statement(self, stmt: dict[str, Any]) -> Statement:
        (name, body), *_ = stmt.items()
        reader = getattr(self, f"_on_{name.lower()}", None)
        if reader is not None:
            found: Statement = reader(body)
            return found
        if name in _WRITES_INSIDE or name in _OTHER_WRITES:
            return self._with_functions(Statement(Kind.WRITE, why=name), body)
        return Statement(Kind.WRITE, frozenset((Taint.UNKNOWN,)), f"{name}: the strictest class")

    def _with_functions(self, statement: Statement, body: Any) -> Statement:
        """Adds the effects of the functions and tables inside a statement."""
        kind, taints, why = statement.kind, set(statement.taints), statement.why
        for name, node in _named_nodes(body):
            if name in _WRITES_INSIDE:
                kind, why = Kind.WRITE, f"{name} inside"
            elif name == "lockingClause":
                kind, why = Kind.WRITE, "row locks"
            elif name == "intoClause":
                kind, why = Kind.WRITE, "makes a table"
                if node.get("rel", {}).get("relpersistence") == "t":
                    taints.add(Taint.TEMPORARY)
            elif name == "RangeVar" and str(node.get("schemaname", "")).lower().startswith("pg_temp"):
                kind, why = Kind.WRITE, "a temporary object is its session's"
            elif name == "FuncCall":
                function = _function_name(node)
                taints.update(_function_taints(function))
                if function not in self._safe:
                    kind, why = Kind.WRITE, f"{function}() is not known to read only"
        return Statement(kind, frozenset(taints), why, statement.settings)

    def _on_selectstmt(self, body: Any) -> Statement:
        return self._with_functions(Statement(Kind.READ, why="select"), body)

    def _on_explainstmt(self, body: Any) -> Statement:
        options = {item["DefElem"]["defname"].lower(): item["DefElem"].get("arg") for item in body.get("options", ())}
        inner = self._classify_statement(body["query"])
        off = ("off", "false", "0")
        runs = "analyze" in options and _constant_text(options["analyze"]).lower() not in off
        if runs or inner.taints:  # EXPLAIN EXECUTE needs the statement that its session has prepared
            return inner if inner.kind in (Kind.READ, Kind.WRITE) else STRICTEST
        return Statement(Kind.READ, why="explains without running")

    def _on_variableshowstmt(self, body: Any) -> Statement:
        return Statement(Kind.READ, why="shows a setting")

    def _on_variablesetstmt(self, body: Any) -> Statement:
        kind, name = body.get("kind", ""), str(body.get("name", "")).lower()
        of_transaction = kind == "VAR_SET_MULTI" and "session" not in name
        if body.get("is_local") or name.startswith("transaction") or of_transaction:
            return Statement(Kind.SETTING, why="for the transaction alone")
        value = None
        if kind == "VAR_SET_VALUE":
            value = ", ".join(_constant_text(one) for one in body.get("args", ()))
        elif kind == "VAR_RESET_ALL":
            name = ""
        return Statement(Kind.SETTING, frozenset((Taint.SETTING,)), "a setting of the session", ((name, value),))

    def _on_transactionstmt(self, body: Any) -> Statement:
        kind = body.get("kind", "")
        if kind in ("TRANS_STMT_BEGIN", "TRANS_STMT_START"):
            options = {item["DefElem"]["defname"]: item["DefElem"].get("arg") for item in body.get("options", ())}
            read_only = _constant_text(options.get("transaction_read_only")) in ("1", "true", "on")
            return Statement(Kind.BEGIN_READ if read_only else Kind.BEGIN, why=kind)
        if kind == "TRANS_STMT_COMMIT":
            return Statement(Kind.COMMIT, why=kind) if not body.get("chain") else STRICTEST
        if kind == "TRANS_STMT_ROLLBACK":
            return Statement(Kind.ROLLBACK, why=kind) if not body.get("chain") else STRICTEST
        if kind in ("TRANS_STMT_SAVEPOINT", "TRANS_STMT_RELEASE", "TRANS_STMT_ROLLBACK_TO"):
            return Statement(Kind.SAVEPOINT, why=kind)
        return Statement(Kind.WRITE, why=f"{kind}: two-phase commit")

    def _on_copystmt(self, body: Any) -> Statement:
        if body.get("is_from"):
            return Statement(Kind.WRITE, why="copies in")
        if body.get("is_program") or body.get("filename"):
            return Statement(Kind.WRITE, why="writes a file of the server's")
        return self._with_functions(Statement(Kind.READ, why="copies out"), body)

    def _on_declarecursorstmt(self, body: Any) -> Statement:
        inner = self._with_functions(Statement(Kind.READ, why="a cursor"), body.get("query", {}))
        if int(body.get("options", 0)) & 0x0020:  # CURSOR_OPT_HOLD
            return Statement(Kind.WRITE, inner.taints | {Taint.HELD_CURSOR}, "a cursor that is held")
        return Statement(inner.kind if inner.kind is Kind.WRITE else Kind.CURSOR, inner.taints, inner.why)

    def _on_fetchstmt(self, body: Any) -> Statement:
        return Statement(Kind.CURSOR, why="of a cursor")

    def _on_closeportalstmt(self, body: Any) -> Statement:
        return Statement(Kind.CURSOR, why="of a cursor")

    def _on_createstmt(self, body: Any) -> Statement:
        temporary = body.get("relation", {}).get("relpersistence") == "t"
        return Statement(Kind.WRITE, frozenset((Taint.TEMPORARY,)) if temporary else frozenset(), "makes a table")

    def _on_createtableasstmt(self, body: Any) -> Statement:
        temporary = body.get("into", {}).get("rel", {}).get("relpersistence") == "t"
        created = Statement(Kind.WRITE, frozenset((Taint.TEMPORARY,)) if temporary else frozenset(), "makes a table")
        return self._with_functions(created, body.get("query", {}))

    def _on_viewstmt(self, body: Any) -> Statement:
        temporary = body.get("view", {}).get("relpersistence") == "t"
        return Statement(Kind.WRITE, frozenset((Taint.TEMPORARY,)) if temporary else frozenset(), "makes a view")

    def _on_createseqstmt(self, body: Any) -> Statement:
        temporary = body.get("sequence", {}).get("relpersistence") == "t"
        return Statement(Kind.WRITE, frozenset((Taint.TEMPORARY,)) if temporary else frozenset(), "makes a sequence")

    def _on_listenstmt(self, body: Any) -> Statement:
        return Statement(Kind.WRITE, frozenset((Taint.LISTEN,)), "listens")

    def _on_unlistenstmt(self, body: Any) -> Statement:
        return Statement(Kind.WRITE, why="listens no more")

    def _on_preparestmt(self, body: Any) -> Statement:
        return Statement(Kind.WRITE, frozenset((Taint.PREPARED,)), "prepared by SQL: its session's")

    def _on_executestmt(self, body: Any) -> Statement:
        return Statement(Kind.WRITE, frozenset((Taint.PREPARED,)), "runs what its session prepared by SQL")

    def _on_deallocatestmt(self, body: Any) -> Statement:
        return Statement(Kind.WRITE, frozenset((Taint.PREPARED,)), "drops what its session prepared")

    def _on_discardstmt(self, body: Any) -> Statement:
        discards_all = body.get("target") == "DISCARD_ALL"
        return Statement(Kind.SETTING, frozenset((Taint.RESET if discards_all else Taint.UNKNOWN,)), "discards")


def _constant_text(node: Any) -> str:
    """The text of a constant; empty for any other node."""
    if not isinstance(node, dict):
        return ""
    constant = node.get("A_Const", node)
    for key, field in (("sval", "sval"), ("ival", "ival"), ("fval", "fval"), ("boolval", "boolval")):
        if key in constant:
            value = constant[key]
            inner = value.get(field, 0 if key == "ival" else "") if isinstance(value, dict) else value
            return str(inner).lower() if isinstance(inner, bool) else str(inner)
    for key in ("String", "Integer", "Float", "Boolean"):
        if key in node:
            inner = next(iter(node[key].values()), 0)
            return str(inner).lower() if isinstance(inner, bool) else str(inner)
    return ""


_OTHER_WRITES = frozenset(
    """
    TruncateStmt AlterTableStmt DropStmt IndexStmt RenameStmt CommentStmt GrantStmt GrantRoleStmt CreateSchemaStmt
    CreateFunctionStmt AlterFunctionStmt CreateTrigStmt RuleStmt VacuumStmt ClusterStmt ReindexStmt RefreshMatViewStmt
    AlterRoleSetStmt NotifyStmt LockStmt CreateEnumStmt AlterEnumStmt CompositeTypeStmt CreateDomainStmt AlterDomainStmt
    CreateExtensionStmt CreateRoleStmt AlterRoleStmt DropRoleStmt CreatedbStmt DropdbStmt AlterSeqStmt AlterOwnerStmt
    AlterObjectSchemaStmt CreatePolicyStmt DefineStmt CheckPointStmt CreateStatsStmt SecLabelStmt
    AlterDefaultPrivilegesStmt CreateTableSpaceStmt DropOwnedStmt ReassignOwnedStmt CreateRangeStmt AlterDatabaseStmt
    AlterSystemStmt
    """.split()  # noqa: SIM905
)
