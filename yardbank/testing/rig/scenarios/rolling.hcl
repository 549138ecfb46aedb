title = "Gateways are stopped one after another and started anew, one of them on an older copy of its state"

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
  rate    = 100
  length  = "7s"
  longest = "30s"
  rest    = "1500ms"
}

step "first" {
  do    = "terminate"
  at    = "500ms"
  lasts = "200ms"
  who   = ["g1"]
}

step "second" {
  do    = "terminate"
  after = "first"
  at    = "1500ms"
  lasts = "200ms"
  who   = ["g2"]
  store = "old"
}

step "third" {
  do    = "terminate"
  after = "second"
  at    = "1500ms"
  lasts = "200ms"
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
  after = "third"
}
