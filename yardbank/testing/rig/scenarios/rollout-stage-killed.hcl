title = "All that have gone over are killed, and start again"

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
  chance   = 0.25
}

step "killed" {
  do    = "kill"
  after = "stage:2"
  lasts = "1s"
  who   = ["moved"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "killed"
}

claim "stages are kept" {
  kind = "stages"
  most = 2
}

claim "all are on the new one" {
  kind = "advanced"
}
