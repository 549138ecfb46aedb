title = "Two regions cannot hear each other while lists are published, one way first and then both, and come together"

fleet {
  gateways   = 8
  peers      = true
  publishers = ["g1", "g2", "g3", "g4"]
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

load {
  rate   = 40
  length = "30s"
}

step "first change" {
  do  = "publish"
  at  = "2s"
  who = ["numbers-1"]
}

step "one way" {
  do     = "cut"
  at     = "4s"
  lasts  = "3s"
  oneway = true
  from   = ["publisher"]
  to     = ["g*"]
}

step "change while the publisher is not heard" {
  do  = "publish"
  at  = "5s"
  who = ["numbers-2"]
}

step "apart" {
  do    = "cut"
  after = "one way"
  at    = "3s"
  lasts = "7s"
  from  = ["zone:norte"]
  to    = ["zone:sur"]
}

step "change while apart" {
  do    = "publish"
  after = "one way"
  at    = "5s"
  who   = ["numbers-3"]
}

step "change together" {
  do    = "publish"
  after = "apart"
  at    = "1s"
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
  after = "apart"
}

claim "all hold each version in time" {
  kind = "distributed"
}
