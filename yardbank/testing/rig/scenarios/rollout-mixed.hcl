title = "A change goes through a fleet in which one gateway runs the program from before letters"

fleet {
  gateways = 6
  zones    = ["norte", "sur", "este"]
  peers    = true
  rollout  = true
  term     = "3s"
}

program "landed" {
  who = ["g1"]
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
  change   = "in-service"
  stages   = [0.5, 1.0]
  hold     = "500ms"
  most     = 2
  worse_by = 0.4
  chance   = 0.25
  who      = ["g2", "g3", "g4", "g5", "g6"]
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

claim "all see each other" {
  kind = "views"
}

claim "all that can are on the new one" {
  kind = "advanced"
  who  = ["g2", "g3", "g4", "g5", "g6"]
}
