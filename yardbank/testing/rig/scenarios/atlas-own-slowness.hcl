title = "Gateways that are stopped again and again do not make the ways slow"

fleet {
  gateways = 6
  zones    = ["norte", "sur", "este"]
  peers    = true
  atlas    = true
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate   = 60
  length = "11s"
}

step "far" {
  do   = "delay"
  from = ["zone:norte"]
  to   = ["zone:sur", "zone:este"]
  by   = "20ms"
}

step "farther" {
  do   = "delay"
  from = ["zone:sur"]
  to   = ["zone:este"]
  by   = "40ms"
}

step "stopped 1" {
  do    = "pause"
  at    = "2s"
  lasts = "400ms"
  who   = ["g1", "g2"]
}

step "stopped 2" {
  do    = "pause"
  after = "stopped 1"
  at    = "700ms"
  lasts = "400ms"
  who   = ["g1", "g2"]
}

step "stopped 3" {
  do    = "pause"
  after = "stopped 2"
  at    = "700ms"
  lasts = "400ms"
  who   = ["g1", "g2"]
}

step "stopped 4" {
  do    = "pause"
  after = "stopped 3"
  at    = "700ms"
  lasts = "400ms"
  who   = ["g1", "g2"]
}

step "stopped 5" {
  do    = "pause"
  after = "stopped 4"
  at    = "700ms"
  lasts = "400ms"
  who   = ["g1", "g2"]
}

step "stopped 6" {
  do    = "pause"
  after = "stopped 5"
  at    = "700ms"
  lasts = "400ms"
  who   = ["g1", "g2"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "the map is right" {
  kind   = "map"
  share  = 0.2
  within = "15ms"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "stopped 6"
}
