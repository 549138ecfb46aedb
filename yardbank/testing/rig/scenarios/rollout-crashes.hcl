title = "A change with which no gateway can start stops by itself"

fleet {
  gateways = 6
  zones    = ["norte", "sur", "este"]
  peers    = true
  rollout  = true
  term     = "3s"
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate    = 60
  length  = "4s"
  longest = "120s"
  clients = 12
}

step "asked" {
  do       = "rollout"
  at       = "500ms"
  change   = "crashes"
  stages   = [0.5, 1.0]
  hold     = "500ms"
  most     = 2
  worse_by = 0.4
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "asked"
}

claim "stages are kept" {
  kind = "stages"
  most = 2
}

claim "it stops and all go back" {
  kind = "stopped"
}
