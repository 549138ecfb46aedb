title = "Two servers return cold at once, to gateways with uneven traffic of which some have just been started anew"

fleet {
  gateways = 20
}

group "numbers" {
  suffix    = "ou=numbers,dc=porting"
  servers   = 4
  read_time = "20ms"
}

load {
  rate    = 400
  length  = "12s"
  clients = 80
  writes  = 0.2
  session = "500ms"
  uneven  = 4
}

step "started anew" {
  do    = "kill"
  at    = "500ms"
  lasts = "500ms"
  who   = ["g2", "g3", "g4"]
}

step "gone and cold" {
  do    = "crash"
  at    = "1s"
  lasts = "2s"
  who   = ["numbers-3", "numbers-4"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "gone and cold"
}

claim "the fleet's sum stays within the budget" {
  kind     = "cold_sum"
  multiple = 1.0
  window   = "2s"
}
