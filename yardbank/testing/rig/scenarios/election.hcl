title = "A primary dies while a quarter of the gateways cannot reach its successor and hear no list"

fleet {
  gateways = 4
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

load {
  rate   = 100
  length = "7s"
}

step "old list" {
  do    = "hold"
  at    = "500ms"
  until = "crash"
  who   = ["g1"]
}

step "no way" {
  do    = "cut"
  at    = "500ms"
  until = "crash"
  from  = ["g1"]
  to    = ["numbers-2"]
}

step "crash" {
  do    = "crash"
  at    = "1s"
  lasts = "3s"
  who   = ["numbers-1"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "crash"
}
