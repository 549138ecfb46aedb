title = "A rollout under way, channels owned, a way that turns slow, a partition, a killed owner, a stage that does worse"

fleet {
  gateways = 6
  zones    = ["norte", "sur", "este"]
  peers    = true
  channels = true
  rollout  = true
  atlas    = true
  term     = "3s"
}

program "notices" {
  who      = ["g*"]
  channels = 3
}

group "numbers" {
  suffix = "ou=numbers,dc=porting"
}

load {
  rate    = 60
  length  = "4s"
  longest = "120s"
  clients = 12
  writes  = 0.5
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

step "asked" {
  do       = "rollout"
  at       = "1s"
  change   = "locked-out"
  stages   = [0.5, 1.0]
  hold     = "500ms"
  most     = 2
  worse_by = 0.4
  chance   = 0.25
}

step "slow way" {
  do   = "delay"
  at   = "2s"
  from = ["zone:norte"]
  to   = ["zone:sur"]
  by   = "20ms"
}

step "partition" {
  do    = "cut"
  after = "went_over"
  at    = "1s"
  lasts = "2s"
  from  = ["zone:norte"]
  to    = ["zone:sur", "zone:este"]
}

step "owner killed" {
  do    = "kill"
  after = "partition"
  at    = "500ms"
  lasts = "1s"
  who   = ["owner:notices-1"]
}

claim "the five rules" {
  kind = "rules"
}

claim "no gateway ends by itself" {
  kind = "alive"
}

claim "all serve again" {
  kind  = "serves_again"
  after = "owner killed"
}

claim "all see each other again" {
  kind = "views"
}

claim "one owner at a time" {
  kind = "owners"
}

claim "followers miss nothing silently" {
  kind = "followers"
}

claim "each channel has its owner again" {
  kind  = "owned_again"
  after = "owner killed"
}

claim "stages are kept" {
  kind = "stages"
  most = 2
}

claim "it stops and all go back" {
  kind = "stopped"
}

claim "the map is right" {
  kind   = "map"
  share  = 0.2
  within = "20ms"
}
