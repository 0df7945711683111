// The withdrawal of a key: a store that holds the configuration, a leader that asks the store, and a follower that asks
// the leader or the store.
//
// Version 0 of the configuration has the key, version 1 has not. An instance serves the key while its version has it and
// its last confirmation is young enough. A confirmation comes with an answer, which may be read long after it was given.
// Each process has a clock of its own. While its machine is suspended it does nothing and its clock stands; when it goes
// on, it adds what it has missed, by the time of day.
module withdrawal {
  pure val PROCESSES = Set("leader", "follower")
  // After the withdrawal, the key may be served for this long.
  pure val LIMIT = 3
  pure val NEVER = -1000

  type Call = { isOpen: bool, isAnswered: bool, sentAt: int, version: int, age: int }
  pure val NO_CALL = { isOpen: false, isAnswered: false, sentAt: 0, version: 0, age: 0 }

  var now: int
  var storeVersion: int
  var withdrawnAt: int
  var clocks: str -> int
  var missed: str -> int
  var isSuspended: str -> bool
  var versions: str -> int
  // When the confirming call was sent, less the age that its answer tells, by the process's own clock.
  var confirmedAt: str -> int
  var calls: str -> Call
  // The leader has confirmed a version to the follower.
  var hasAskedLeader: bool

  def serves(p) = not(isSuspended.get(p)) and versions.get(p) == 0 and clocks.get(p) - confirmedAt.get(p) <= LIMIT
  def neverServedLate = PROCESSES.forall(p =>
    storeVersion == 0 or now <= withdrawnAt + LIMIT or not(serves(p)))
  def stopsUnaware = and {
    storeVersion == 1, versions.get("follower") == 0, confirmedAt.get("follower") >= 0, not(serves("follower")),
  }
  def servesOnTheLeadersWord = hasAskedLeader and serves("follower")

  action init = all {
    now' = 0, storeVersion' = 0, withdrawnAt' = 0,
    clocks' = PROCESSES.mapBy(p => 0),
    missed' = PROCESSES.mapBy(p => 0),
    isSuspended' = PROCESSES.mapBy(p => false),
    versions' = PROCESSES.mapBy(p => 0),
    confirmedAt' = PROCESSES.mapBy(p => NEVER),
    calls' = PROCESSES.mapBy(p => NO_CALL),
    hasAskedLeader' = false,
  }

  action keepStore = all { storeVersion' = storeVersion, withdrawnAt' = withdrawnAt }
  action keepTime = all { now' = now, clocks' = clocks, missed' = missed, isSuspended' = isSuspended }
  action keepKnowledge = all { versions' = versions, confirmedAt' = confirmedAt, hasAskedLeader' = hasAskedLeader }

  action tick = all {
    now' = now + 1,
    clocks' = PROCESSES.mapBy(p => clocks.get(p) + (if (isSuspended.get(p)) 0 else 1)),
    missed' = PROCESSES.mapBy(p => missed.get(p) + (if (isSuspended.get(p)) 1 else 0)),
    isSuspended' = isSuspended, calls' = calls,
    keepStore, keepKnowledge,
  }

  action withdraw = all {
    storeVersion == 0,
    storeVersion' = 1, withdrawnAt' = now, calls' = calls,
    keepTime, keepKnowledge,
  }

  action suspend = all {
    nondet p = PROCESSES.oneOf()
    all { not(isSuspended.get(p)), isSuspended' = isSuspended.set(p, true) },
    now' = now, clocks' = clocks, missed' = missed, calls' = calls,
    keepStore, keepKnowledge,
  }

  action resume = all {
    nondet p = PROCESSES.oneOf()
    all {
      isSuspended.get(p),
      isSuspended' = isSuspended.set(p, false),
      clocks' = clocks.set(p, clocks.get(p) + missed.get(p)),
      missed' = missed.set(p, 0),
    },
    now' = now, calls' = calls,
    keepStore, keepKnowledge,
  }

  // A new process may get the configuration from the other one.
  action restart = all {
    nondet p = PROCESSES.oneOf()
    all {
      confirmedAt' = confirmedAt.set(p, NEVER),
      calls' = calls.set(p, NO_CALL),
    },
    versions' = versions, hasAskedLeader' = hasAskedLeader,
    keepTime, keepStore,
  }

  action send = all {
    nondet p = PROCESSES.oneOf()
    all {
      not(isSuspended.get(p)), not(calls.get(p).isOpen),
      calls' = calls.set(p, { ...NO_CALL, isOpen: true, sentAt: clocks.get(p) }),
    },
    keepTime, keepStore, keepKnowledge,
  }

  action answerByStore = all {
    nondet p = PROCESSES.oneOf()
    all {
      calls.get(p).isOpen, not(calls.get(p).isAnswered),
      calls' = calls.set(p, { ...calls.get(p), isAnswered: true, version: storeVersion }),
    },
    keepTime, keepStore, keepKnowledge,
  }

  action answerByLeader = all {
    calls.get("follower").isOpen, not(calls.get("follower").isAnswered), not(isSuspended.get("leader")),
    calls' = calls.set("follower", {
      ...calls.get("follower"),
      isAnswered: true,
      version: versions.get("leader"),
      age: clocks.get("leader") - confirmedAt.get("leader"),
    }),
    versions' = versions, confirmedAt' = confirmedAt, hasAskedLeader' = true,
    keepTime, keepStore,
  }

  // An answer with an older version than that of the process confirms nothing.
  action readAnswer = all {
    nondet p = PROCESSES.oneOf()
    val call = calls.get(p)
    val at = call.sentAt - call.age
    all {
      not(isSuspended.get(p)), call.isAnswered,
      calls' = calls.set(p, NO_CALL),
      versions' = if (call.version > versions.get(p)) versions.set(p, call.version) else versions,
      confirmedAt' =
        if (call.version >= versions.get(p) and at > confirmedAt.get(p)) confirmedAt.set(p, at) else confirmedAt,
    },
    hasAskedLeader' = hasAskedLeader,
    keepTime, keepStore,
  }

  action step = any {
    tick, withdraw, suspend, resume, restart, send, answerByStore, answerByLeader, readAnswer,
  }
}
