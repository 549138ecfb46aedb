title = "Clients leave in a burst, while servers hang and some gateways are stopped, and these go on after that"

fleet {
  gateways = 20
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

load {
  rate    = 300
  length  = "9s"
  clients = 80
  session = "1500ms"
}

step "hung" {
  do    = "hang"
  at    = "1200ms"
  lasts = "1500ms"
  who   = ["numbers-2", "numbers-3"]
}

step "stopped" {
  do    = "pause"
  at    = "1s"
  lasts = "1500ms"
  who   = ["g1", "g2", "g1?"]
}

step "burst" {
  do    = "leave"
  at    = "1700ms"
  share = 0.6
}

step "resets" {
  do    = "leave"
  at    = "2s"
  share = 0.6
  means = "reset"
}

step "given up" {
  do    = "leave"
  at    = "2400ms"
  share = 0.6
  means = "abandon"
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "hung"
}

claim "nothing is sent on for clients that have gone" {
  kind   = "gone_clients"
  within = "100ms"
  cases  = 3
  late   = "300ms"
  share  = 0.25
  fewest = 5
}
