title = "One gateway's own ways out are broken: it calls every server dead, and nobody else believes it"

fleet {
  gateways = 4
  peers    = true
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

load {
  rate   = 80
  length = "7s"
}

step "broken" {
  do    = "cut"
  how   = "reset"
  at    = "1s"
  lasts = "3s"
  from  = ["g1"]
  to    = ["numbers-*"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "broken"
}

claim "nobody is moved" {
  kind = "unmoved"
}
