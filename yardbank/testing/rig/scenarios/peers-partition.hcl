title = "Gateways that know of each other are cut in two, and one side also from a server; then all is healed"

fleet {
  gateways = 5
  peers    = true
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

group "requests" {
  suffix = "ou=requests,dc=porting"
}

load {
  rate   = 80
  length = "9s"
}

step "partition" {
  do    = "cut"
  at    = "1s"
  lasts = "5s"
  from  = ["g1", "g2"]
  to    = ["g3", "g4", "g5"]
}

step "server" {
  do    = "cut"
  at    = "1s"
  lasts = "2s"
  from  = ["g1", "g2"]
  to    = ["requests-2"]
}

step "lossy" {
  do    = "lose"
  after = "partition"
  lasts = "1s"
  share = 0.3
  from  = ["g*"]
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
  after = "partition"
}

claim "all see each other again" {
  kind = "views"
}
