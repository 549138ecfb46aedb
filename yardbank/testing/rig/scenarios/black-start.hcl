title = "All gateways are killed at once and come back without their state, while a whole group starts cold"

fleet {
  gateways = 6
  peers    = true
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

group "requests" {
  suffix  = "ou=requests,dc=porting"
  servers = 3
}

load {
  clients = 30
  rate    = 150
  length  = "9s"
  retries = 4
}

step "cold" {
  do    = "crash"
  at    = "1s"
  lasts = "1s"
  who   = ["requests-*"]
}

step "all" {
  do    = "kill"
  at    = "1s"
  lasts = "500ms"
  who   = ["g*"]
  store = "lost"
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "all"
}

claim "all see each other" {
  kind = "views"
}
