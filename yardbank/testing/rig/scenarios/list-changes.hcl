title = "A list is published while its publisher dies, datagrams are lost, one gateway stops and one loses its store"

fleet {
  gateways   = 8
  peers      = true
  publishers = ["g1", "g2", "g3"]
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 3
}

load {
  rate   = 40
  length = "26s"
}

step "first change" {
  do  = "publish"
  at  = "2s"
  who = ["numbers-1"]
}

step "loss" {
  do    = "lose"
  at    = "3s"
  lasts = "3s"
  share = 0.3
  from  = ["g*"]
  to    = ["g*"]
}

step "change under loss" {
  do  = "publish"
  at  = "4s"
  who = ["numbers-2"]
}

step "stopped" {
  do    = "pause"
  at    = "7s"
  lasts = "5s"
  who   = ["g7"]
}

step "store lost" {
  do    = "kill"
  at    = "7s"
  lasts = "3s"
  who   = ["g8"]
  store = "lost"
}

step "publisher dies" {
  do    = "kill"
  at    = "7s"
  lasts = "5s"
  who   = ["publisher"]
}

step "change without a publisher" {
  do  = "publish"
  at  = "7500ms"
  who = ["numbers-3"]
}

step "last change" {
  do  = "publish"
  at  = "15s"
  who = ["numbers-*"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "publisher dies"
}

claim "all hold each version in time" {
  kind = "distributed"
}
