title = "Of gateways that know of each other one is gone for good, one comes back without its state, one was paused"

fleet {
  gateways = 5
  peers    = true
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate   = 80
  length = "8s"
}

step "gone" {
  do  = "kill"
  at  = "1s"
  who = ["g1"]
}

step "anew" {
  do    = "kill"
  at    = "1s"
  lasts = "300ms"
  who   = ["g2"]
  store = "lost"
}

step "paused" {
  do    = "pause"
  at    = "1s"
  lasts = "4s"
  who   = ["g3"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "paused"
}

claim "all know who is gone" {
  kind = "views"
}
