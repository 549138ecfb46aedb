title = "One copy of five hangs: gateways that know of each other spare it on others' word, and find it again"

fleet {
  gateways = 6
  peers    = true
}

group "numbers" {
  suffix  = "ou=numbers,dc=porting"
  servers = 5
}

load {
  rate   = 90
  length = "12s"
  writes = 0.1
}

step "hang" {
  do    = "hang"
  at    = "1s"
  lasts = "5s"
  who   = ["numbers-3"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "hang"
}

claim "all see each other" {
  kind = "views"
}

claim "belief keeps its bound" {
  kind = "belief"
}
