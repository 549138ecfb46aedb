title = "A change is stopped by an operator at one gateway as the first ones have gone over"

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
  change   = "anew"
  stages   = [0.5, 1.0]
  hold     = "500ms"
  most     = 2
  worse_by = 0.4
}

step "stop" {
  do    = "stop_rollout"
  after = "went_over"
  who   = ["g1"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "stop"
}

claim "stages are kept" {
  kind = "stages"
  most = 2
}

claim "it stops and all go back" {
  kind = "stopped"
}
