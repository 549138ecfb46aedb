title = "A third of the datagrams is lost"

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
  length = "10s"
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

step "lossy" {
  do    = "lose"
  at    = "500ms"
  share = 0.3
  from  = ["g*"]
  to    = ["g*"]
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
  after = "lossy"
}
