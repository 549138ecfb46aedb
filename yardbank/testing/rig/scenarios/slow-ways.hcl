title = "Slow, narrow and spoilt ways to one server, and one gateway whose clock runs a fifth too fast"

fleet {
  gateways = 4
}

clock "g2" {
  rate   = 1.2
  offset = "2h"
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

group "requests" {
  suffix = "ou=requests,dc=porting"
}

load {
  rate   = 100
  length = "7s"
}

step "slow" {
  do     = "delay"
  at     = "500ms"
  lasts  = "2s"
  by     = "80ms"
  jitter = "40ms"
  from   = ["g1"]
  to     = ["numbers-*"]
}

step "narrow" {
  do    = "throttle"
  at    = "1s"
  lasts = "2s"
  rate  = 2000
  from  = ["g2", "g3"]
  to    = ["requests-2"]
}

step "spoilt" {
  do    = "spoil"
  at    = "3s"
  lasts = "2s"
  share = 0.2
  from  = ["g4"]
  to    = ["requests-2"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "spoilt"
}
