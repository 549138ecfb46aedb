title = "Each gateway is stopped and started anew, one after another, and hands on what it owns"

fleet {
  gateways = 5
  peers    = true
  channels = true
}

program "notices" {
  who      = ["g*"]
  channels = 4
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate    = 50
  length  = "4s"
  longest = "25s"
}

step "g1" {
  do    = "terminate"
  at    = "1s"
  lasts = "300ms"
  who   = ["g1"]
}

step "g2" {
  do    = "terminate"
  after = "ready:g1"
  at    = "700ms"
  lasts = "300ms"
  who   = ["g2"]
}

step "g3" {
  do    = "terminate"
  after = "ready:g2"
  at    = "700ms"
  lasts = "300ms"
  who   = ["g3"]
}

step "g4" {
  do    = "terminate"
  after = "ready:g3"
  at    = "700ms"
  lasts = "300ms"
  who   = ["g4"]
}

step "g5" {
  do    = "terminate"
  after = "ready:g4"
  at    = "700ms"
  lasts = "300ms"
  who   = ["g5"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "g5"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "g5"
}
