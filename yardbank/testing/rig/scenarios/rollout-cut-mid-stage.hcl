title = "Those that went over are cut off from those that did not, and come back; the change goes through"

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
  change   = "in-service"
  stages   = [0.5, 1.0]
  hold     = "500ms"
  most     = 2
  worse_by = 0.4
  chance   = 0.25
}

step "cut off" {
  do    = "cut"
  after = "went_over"
  at    = "500ms"
  lasts = "3s"
  from  = ["moved"]
  to    = ["g*"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "cut off"
}

claim "stages are kept" {
  kind = "stages"
  most = 2
}

claim "all are on the new one" {
  kind = "advanced"
}

claim "all see each other again" {
  kind = "views"
}
