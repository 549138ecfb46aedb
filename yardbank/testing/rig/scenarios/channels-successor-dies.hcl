title = "An owner hands on as it is told to stop, its successor is killed, and then an owner without its store comes back"

fleet {
  gateways = 5
  peers    = true
  channels = true
}

program "notices" {
  who      = ["g*"]
  channels = 4
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate    = 50
  length  = "4s"
  longest = "25s"
}

step "told to stop" {
  do    = "terminate"
  at    = "1s"
  lasts = "2s"
  who   = ["owner:notices-1"]
}

step "successor killed" {
  do    = "kill"
  at    = "1100ms"
  lasts = "3s"
  who   = ["owner:notices-1"]
  store = "lost"
}

step "another killed" {
  do    = "kill"
  after = "successor killed"
  at    = "300ms"
  lasts = "1s"
  who   = ["owner:notices-2"]
  store = "old"
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "another killed"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "another killed"
}
