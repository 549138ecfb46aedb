title = "Half of the gateways lose a whole group for two seconds, then find it again"

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
  clients = 12
  rate    = 100
  length  = "5s"
}

step "partition" {
  do    = "cut"
  at    = "1s"
  lasts = "2s"
  from  = ["g1", "g2"]
  to    = ["requests-*"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "partition"
}
