title = "Three of four gateways are killed and come back: with their state, with none, with a damaged one"

fleet {
  gateways = 4
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

group "requests" {
  suffix = "ou=requests,dc=porting"
}

load {
  rate   = 100
  length = "6s"
}

step "kill with state" {
  do    = "kill"
  at    = "1s"
  lasts = "300ms"
  who   = ["g1"]
}

step "kill without state" {
  do    = "kill"
  at    = "1s"
  lasts = "300ms"
  who   = ["g2"]
  store = "lost"
}

step "kill with a damaged state" {
  do    = "kill"
  at    = "1s"
  lasts = "300ms"
  who   = ["g3"]
  store = "damaged"
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "kill with state"
}
