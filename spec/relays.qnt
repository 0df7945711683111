// The ends of runs at one worker, read and acknowledged by a leader through two relays.
//
// A worker numbers its ends from one in each life. It forgets those that are acknowledged, and lists the others in
// each report. Reports travel over the connections of two relays, whose clocks differ by any amount; a connection leads
// to the life of the worker in which it was opened. A report call may be carried out late, as long as that life lasts,
// and its answer may be lost. The leader may use either relay for any call.
module relays {
  pure val RELAYS = Set(1, 2)

  type Call = { relay: int, life: int, acknowledged: int, sentAt: int }

  // The worker: its life, the ends of this life, and how many of them it has forgotten.
  var life: int
  var ends: int
  var forgotten: int
  // For each relay: its clock, the life that its connection leads to (0 for none), and when that was opened.
  var clocks: int -> int
  var connectedLife: int -> int
  var connectedAt: int -> int
  // Calls that may still be carried out.
  var calls: Set[Call]
  // The leader: the life that it last heard of, the ends of it that it has read, and the last answered report: its
  // relay and when that relay requested it.
  var knownLife: int
  var read: int
  var lastRelay: int
  var lastReportAt: int
  // Some end of the present life was forgotten unread at some time.
  var hasLost: bool
  // Ends were acknowledged at all, and through both relays.
  var usedRelays: Set[int]

  def noEndIsLost = not(hasLost)
  def forgetsThroughBoth = usedRelays.size() == 2

  action init = all {
    life' = 1, ends' = 0, forgotten' = 0,
    nondet first = 0.to(20).oneOf()
    nondet second = 0.to(20).oneOf()
    clocks' = Map(1 -> first, 2 -> second),
    connectedLife' = Map(1 -> 0, 2 -> 0),
    connectedAt' = Map(1 -> 0, 2 -> 0),
    calls' = Set(),
    knownLife' = 0, read' = 0, lastRelay' = 0, lastReportAt' = 0,
    hasLost' = false, usedRelays' = Set(),
  }

  action keepWorker = all { life' = life, ends' = ends, forgotten' = forgotten }
  action keepConnections = all { connectedLife' = connectedLife, connectedAt' = connectedAt }
  action keepLeader = all {
    knownLife' = knownLife, read' = read, lastRelay' = lastRelay, lastReportAt' = lastReportAt,
  }
  action keepHistory = all { hasLost' = hasLost, usedRelays' = usedRelays }
  action pass = clocks' = clocks.keys().mapBy(r => clocks.get(r) + 1)

  action endRun = all {
    ends < 3,
    life' = life, ends' = ends + 1, forgotten' = forgotten,
    pass, keepConnections, keepLeader, keepHistory, calls' = calls,
  }

  // The worker restarts: its connections break, and calls to its former life are carried out no more.
  action restart = all {
    life < 4,
    life' = life + 1, ends' = 0, forgotten' = 0,
    connectedLife' = Map(1 -> 0, 2 -> 0),
    connectedAt' = connectedAt,
    calls' = Set(),
    pass, keepLeader, keepHistory,
  }

  // A relay requests a report for the leader, over its connection or a new one.
  action request = all {
    nondet relay = RELAYS.oneOf()
    val isOpen = connectedLife.get(relay) > 0
    val openedAt = if (isOpen) connectedAt.get(relay) else clocks.get(relay)
    val isSameRelay = lastRelay == relay
    val isOlder = openedAt < lastReportAt
    val acknowledged = if (isSameRelay and isOlder) read else 0
    all {
      connectedLife' = connectedLife.set(relay, life),
      connectedAt' = connectedAt.set(relay, openedAt),
      calls' = calls.union(Set({
        relay: relay, life: life, acknowledged: acknowledged, sentAt: clocks.get(relay),
      })),
    },
    pass, keepWorker, keepLeader, keepHistory,
  }

  // The worker carries out a call, and the answer reaches the leader or is lost.
  action answer = all {
    calls.size() > 0,
    nondet call = calls.oneOf()
    nondet isLost = Set(true, false).oneOf()
    val forgets = if (call.acknowledged > forgotten) call.acknowledged else forgotten
    val readBefore = if (knownLife == life) read else 0
    all {
      calls' = calls.exclude(Set(call)),
      forgotten' = if (forgets > ends) ends else forgets,
      // An end that the leader has not read is forgotten.
      hasLost' = (hasLost or (call.acknowledged > 0 and ends > 0 and
        (if (call.acknowledged > ends) ends else call.acknowledged) > readBefore)),
      usedRelays' = if (call.acknowledged > 0 and ends > 0) usedRelays.union(Set(call.relay)) else usedRelays,
      knownLife' = if (isLost) knownLife else life,
      read' = if (isLost) read else ends,
      lastRelay' = if (isLost) lastRelay else call.relay,
      lastReportAt' = if (isLost) lastReportAt else call.sentAt,
    },
    life' = life, ends' = ends,
    pass, keepConnections,
  }

  // A relay is given up: its calls may still be carried out, and its connections stay.
  action drop = all {
    nondet relay = RELAYS.oneOf()
    all {
      connectedLife' = connectedLife.set(relay, 0),
      connectedAt' = connectedAt,
    },
    pass, keepWorker, keepLeader, keepHistory, calls' = calls,
  }

  action step = any { endRun, restart, request, answer, drop }
}
