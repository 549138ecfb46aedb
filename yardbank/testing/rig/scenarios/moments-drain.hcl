title = "Servers drain: some gateways are told late, some are stopped meanwhile, and drains follow as they go on"

fleet {
  gateways = 20
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

group "requests" {
  suffix  = "ou=requests,dc=porting"
  servers = 3
}

load {
  rate    = 300
  length  = "8s"
  clients = 80
}

step "stopped" {
  do    = "pause"
  at    = "1s"
  lasts = "1500ms"
  who   = ["g1", "g1?"]
}

step "discovery out of reach" {
  do    = "hold"
  at    = "1s"
  lasts = "2s"
  who   = ["g2", "g3"]
}

step "drain" {
  do    = "tell"
  at    = "1500ms"
  who   = ["numbers-2"]
  state = "draining"
}

step "drain told late" {
  do       = "tell"
  at       = "1500ms"
  who      = ["requests-3"]
  state    = "draining"
  gateways = ["g4", "g5"]
  late     = "1500ms"
}

step "drain right after" {
  do    = "tell"
  after = "stopped"
  at    = "20ms"
  who   = ["requests-2"]
  state = "draining"
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "discovery out of reach"
}

claim "drains are kept from when they count as told" {
  kind  = "told"
  bound = "6s"
  grace = "500ms"
}
