title = "A way between two halves of the fleet goes and comes each second"

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

step "away 1" {
  do    = "cut"
  at    = "1s"
  lasts = "500ms"
  from  = ["g1", "g2"]
  to    = ["g3", "g4", "g5"]
}

step "away 2" {
  do    = "cut"
  after = "away 1"
  at    = "500ms"
  lasts = "500ms"
  from  = ["g1", "g2"]
  to    = ["g3", "g4", "g5"]
}

step "away 3" {
  do    = "cut"
  after = "away 2"
  at    = "500ms"
  lasts = "500ms"
  from  = ["g1", "g2"]
  to    = ["g3", "g4", "g5"]
}

step "away 4" {
  do    = "cut"
  after = "away 3"
  at    = "500ms"
  lasts = "500ms"
  from  = ["g1", "g2"]
  to    = ["g3", "g4", "g5"]
}

step "away 5" {
  do    = "cut"
  after = "away 4"
  at    = "500ms"
  lasts = "500ms"
  from  = ["g1", "g2"]
  to    = ["g3", "g4", "g5"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "away 5"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "away 5"
}
