# A gateway for one group: a primary and two read-only copies. Check it with: yardbank check deploy/example.hcl

listener "ldap" {
  address = "127.0.0.1"
  port    = 3890
}

gateway {
  zone       = "norte"
  gateways   = 2       # how many gateways the servers see, all told
  cold       = "18s"   # a started server is warm by then
  cold_share = 0.3     # and starts with this share of its capacity
}

backend "ldap" {
  bind_dn        = "cn=gateway,dc=porting"
  bind_password  = "gateway"
  role_attribute = "replicationRole" # read along with contextCSN, where servers have such an attribute
  primary_value  = "primary"
}

group "numbers" {
  suffix = "dc=porting"
}

server "norte-1" {
  group   = "numbers"
  zone    = "norte"
  address = "127.0.0.1"
  port    = 3891
  primary = true
}

server "norte-2" {
  group   = "numbers"
  zone    = "norte"
  address = "127.0.0.1"
  port    = 3892
}

server "sur-1" {
  group   = "numbers"
  zone    = "sur"
  address = "127.0.0.1"
  port    = 3893
}

# Anyone may look a route up; the answer may be a little old.
class "route-lookup" {
  effect    = "safe"
  read      = "bounded"
  staleness = "800ms"
  aim       = "500ms"
  deadline  = "1500ms"
  worth     = 2
  match {
    operation = ["search", "compare"]
    base      = "ou=numbers,dc=porting"
  }
}

# A desk looks at its own requests: it must see what it has written.
class "request-status" {
  effect     = "safe"
  read       = "session"
  aim        = "750ms"
  deadline   = "2s"
  late_worth = 0.2
  match {
    operation = ["search", "compare"]
    base      = "ou=requests,dc=porting"
  }
}

# A port must never be committed twice.
class "port-commit" {
  effect     = "unsafe"
  read       = "write"
  aim        = "500ms"
  deadline   = "3s"
  worth      = 3
  late_worth = 0.7
  match {
    operation = ["add", "modify", "modifydn", "delete"]
    base      = "dc=porting"
  }
}

identity "cn=desk,dc=porting" {
  password = "desk"
}

logging {
  level   = "info"
  format  = "console"
  answers = true
}

# Gateways that go together: take the bars away where several share this list of peers and this key.
#| peers {
#|   name = "g1"
#|   port = 7946
#|   list = "peers.hcl"
#|   key  = "peers.key"
#| }
#|
#| # What only one gateway may hold. The same at all of them: others' terms grant nothing.
#| leases {
#|   term    = "3s"
#|   drift   = 0.02
#|   overlap = "500ms"
#|   voters  = 3
#| }
#|
#| # Feeds that one gateway carries for all; with positions, one asks a group's servers where they stand.
#| channels {
#|   positions   = true
#|   every       = "100ms"
#|   alone_after = "1s"
#| }
#|
#| # Changes in stages; wants yardbank serve --supervised where a change needs a start anew.
#| rollout {
#|   file  = "rollout.hcl"
#|   young = "30s"
#| }
#|
#| # What ways between zones cost, from what gateways see anyway.
#| atlas {
#|   taken_up = "10s"
#|   step     = 0.1
#| }
