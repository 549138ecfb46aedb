title = "The owner of a channel hears the others and is not heard; then the other way round"

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

step "not heard" {
  do     = "cut"
  at     = "1s"
  lasts  = "3s"
  oneway = true
  from   = ["owner:notices-1"]
  to     = ["g*"]
}

step "hears nothing" {
  do     = "cut"
  after  = "not heard"
  at     = "500ms"
  lasts  = "3s"
  oneway = true
  from   = ["g*"]
  to     = ["owner:notices-2"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "hears nothing"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "hears nothing"
}
