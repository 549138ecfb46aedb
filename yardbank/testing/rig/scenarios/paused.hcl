title = "A gateway is paused for three seconds and goes on with all that it believed"

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

step "pause" {
  do    = "pause"
  at    = "1s"
  lasts = "3s"
  who   = ["g1"]
}

step "drain meanwhile" {
  do    = "tell"
  at    = "2s"
  who   = ["requests-2"]
  state = "draining"
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "pause"
}
