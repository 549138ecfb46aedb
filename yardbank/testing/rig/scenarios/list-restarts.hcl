title = "Thirty gateways are killed at once and start again together, with and without their copies of the list"

fleet {
  gateways   = 30
  peers      = true
  publishers = ["g1", "g2", "g3"]
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

load {
  rate    = 30
  clients = 60
  length  = "40s"
}

step "first change" {
  do  = "publish"
  at  = "2s"
  who = ["numbers-1"]
}

step "all at once" {
  do    = "kill"
  at    = "5s"
  lasts = "2s"
  who   = ["g?", "g1?"]
}

step "all at once, copies lost" {
  do    = "kill"
  at    = "5s"
  lasts = "2s"
  who   = ["g2?", "g30"]
  store = "lost"
}

step "change meanwhile" {
  do  = "publish"
  at  = "6s"
  who = ["numbers-2"]
}

step "last change" {
  do    = "publish"
  after = "all at once"
  at    = "8s"
  who   = ["numbers-3"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "all at once"
}

claim "all hold each version in time" {
  kind = "distributed"
}
