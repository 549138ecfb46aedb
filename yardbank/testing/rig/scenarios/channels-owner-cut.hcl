title = "The owner of a channel is cut off from all other gateways for four seconds, and comes back"

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

step "cut off" {
  do    = "cut"
  at    = "1s"
  lasts = "4s"
  from  = ["owner:notices-1"]
  to    = ["g*"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "cut off"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "cut off"
}

claim "all see each other again" {
  kind = "views"
}
