title = "A program from before letters runs beside this one, is cut off from it and back, and is restarted"

fleet {
  gateways = 4
  peers    = true
  channels = true
  atlas    = true
}

program "landed" {
  who = ["g1"]
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate    = 80
  length  = "4s"
  longest = "25s"
}

step "cut off" {
  do    = "cut"
  at    = "1s"
  lasts = "1500ms"
  from  = ["g1"]
  to    = ["g2", "g3", "g4"]
}

step "restart" {
  do    = "terminate"
  after = "cut off"
  at    = "200ms"
  lasts = "500ms"
  who   = ["g1"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "restart"
}

claim "all see each other again" {
  kind = "views"
}
