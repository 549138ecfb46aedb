title = "What half of the gateways send to one server is lost on the way; its answers still come through"

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
  length = "5s"
}

step "one way" {
  do     = "cut"
  at     = "1s"
  lasts  = "2s"
  from   = ["g1", "g2"]
  to     = ["requests-2"]
  oneway = true
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "one way"
}
