// The ends of runs at one worker, read and acknowledged by a leader through two relays.
//
// A worker numbers its ends from one in each life. It forgets those that are acknowledged, and lists the others in
// each report. Reports travel over the connections of two relays; a connection leads to the life of the worker in which
// it was opened, and the relay knows that life once a report has come back over it. A report call names the life that it
// is meant for. It may be carried out late, as long as the life of its connection lasts, and its answer may be lost on
// the way to the relay or to the leader. The leader may use either relay for any call.
module relays {
  pure val RELAYS = Set(1, 2)

  type Call = { relay: int, life: int, acknowledged: int }

  // The worker: its life, the ends of this life, and how many of them it has forgotten.
  var life: int
  var ends: int
  var forgotten: int
  // For each relay: the life that its connection leads to (0 for none), and the life that it knows the connection to
  // lead to (0 if it knows none).
  var connectedLife: int -> int
  var confirmedLife: int -> int
  // Calls that may still be carried out.
  var calls: Set[Call]
  // The leader: the life that it last heard of, and the ends of it that it has read.
  var knownLife: int
  var read: int
  // Some end of the present life was forgotten unread at some time.
  var hasLost: bool
  // Ends were acknowledged at all, and through both relays.
  var usedRelays: Set[int]

  def noEndIsLost = not(hasLost)
  def forgetsThroughBoth = usedRelays.size() == 2

  action init = all {
    life' = 1, ends' = 0, forgotten' = 0,
    connectedLife' = Map(1 -> 0, 2 -> 0),
    confirmedLife' = Map(1 -> 0, 2 -> 0),
    calls' = Set(),
    knownLife' = 0, read' = 0,
    hasLost' = false, usedRelays' = Set(),
  }

  action keepWorker = all { life' = life, ends' = ends, forgotten' = forgotten }
  action keepConnections = all { connectedLife' = connectedLife, confirmedLife' = confirmedLife }
  action keepLeader = all { knownLife' = knownLife, read' = read }
  action keepHistory = all { hasLost' = hasLost, usedRelays' = usedRelays }

  action endRun = all {
    ends < 3,
    life' = life, ends' = ends + 1, forgotten' = forgotten,
    keepConnections, keepLeader, keepHistory, calls' = calls,
  }

  // The worker restarts: its connections break, and calls to its former life are carried out no more.
  action restart = all {
    life < 4,
    life' = life + 1, ends' = 0, forgotten' = 0,
    connectedLife' = Map(1 -> 0, 2 -> 0),
    confirmedLife' = Map(1 -> 0, 2 -> 0),
    calls' = Set(),
    keepLeader, keepHistory,
  }

  // A relay requests a report for the leader, over its connection or a new one.
  action request = all {
    nondet relay = RELAYS.oneOf()
    val isMeant = confirmedLife.get(relay) == knownLife
    val acknowledged = if (isMeant) read else 0
    all {
      connectedLife' = connectedLife.set(relay, life),
      confirmedLife' = confirmedLife,
      calls' = calls.union(Set({ relay: relay, life: life, acknowledged: acknowledged })),
    },
    keepWorker, keepLeader, keepHistory,
  }

  // The worker carries out a call, and the answer reaches the leader, only the relay, or neither.
  action answer = all {
    calls.size() > 0,
    nondet call = calls.oneOf()
    nondet isLost = Set(true, false).oneOf()
    nondet reachesRelay = Set(true, not(isLost)).oneOf()
    val isOpen = connectedLife.get(call.relay) == call.life
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
      confirmedLife' =
        if (reachesRelay and isOpen) confirmedLife.set(call.relay, call.life) else confirmedLife,
    },
    life' = life, ends' = ends, connectedLife' = connectedLife,
  }

  // A relay is given up: its calls may still be carried out, and its connections stay.
  action drop = all {
    nondet relay = RELAYS.oneOf()
    all {
      connectedLife' = connectedLife.set(relay, 0),
      confirmedLife' = confirmedLife.set(relay, 0),
    },
    keepWorker, keepLeader, keepHistory, calls' = calls,
  }

  action step = any { endRun, restart, request, answer, drop }
}
