title = "The owner of a channel is stopped in mid-lease and woken when another has it, on clocks that run apart"

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

clock "g1" {
  rate = 1.01
}

clock "g2" {
  rate = 0.99
}

step "stopped" {
  do    = "pause"
  at    = "1s"
  lasts = "2500ms"
  who   = ["owner:notices-1"]
}

step "stopped shortly" {
  do    = "pause"
  after = "stopped"
  at    = "800ms"
  lasts = "950ms"
  who   = ["owner:notices-2"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "stopped shortly"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "stopped shortly"
}
