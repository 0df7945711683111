// One task, the leader that started it, and a later leader that cannot reach the worker on which it runs.
//
// Worker 0 runs the task for leader 1, which extends its lease while it may act: for a short time after the store has
// confirmed it, and for long only while enough of the followers and workers that its record names support it. Leader 2
// starts the task elsewhere one stretched lease after it knows that leader 1 has stopped: since enough of the followers have
// joined it, since enough of the workers have answered it, or since the longest limit has passed. Calls and orders are late,
// followers and workers restart, and the machine of leader 1 is suspended at any time.
module takeover {
  pure val FOLLOWERS = Set(1, 2, 3, 4)
  pure val WORKERS = Set(0, 1, 2, 3)
  // With no more than this many left, leader 1 is not supported.
  pure val MISSABLE_FOLLOWERS = 1
  pure val MISSABLE_WORKERS = 2
  pure val FOLLOWER_WITHIN = 3
  pure val WORKER_WITHIN = 5
  pure val UNSUPPORTED_LIMIT = 3
  pure val SUPPORTED_LIMIT = 24
  pure val LEASE = 6
  pure val STRETCHED_LEASE = 7
  pure val NEVER = -100

  var now: int
  // How long the machine of leader 1 was suspended, which its monotonic clock does not count.
  var suspended: bool
  var uncounted: int

  // The term that the store names as the leader's, and since when.
  var term: int
  var secondSince: int

  // Leader 1: its last confirmation, one whose answer is on its way, and when each supporter was asked for its last answer.
  var confirmedAt: int
  var answerSentAt: int
  var followedAt: int -> int
  var workerAt: int -> int
  // The supporters that the record in the store names in their present lives, as far as leader 1 knows these.
  var recordedFollowers: Set[int]
  var recordedWorkers: Set[int]

  // Followers: whom each follows, and when it had the last answer of leader 1; NEVER after a restart.
  var follows: int -> int
  var answeredAt: int -> int
  var pings: Set[{ from: int, answeredAt: int }]

  // Workers: the highest term that each has heard, its life, and the life that leader 1 knows.
  var heard: int -> int
  var life: int -> int
  var knownLife: int -> int
  var calls: Set[{ to: int, sentAt: int }]
  var reports: Set[{ from: int, life: int, sentAt: int }]

  // The lease of worker 0, within which the task runs, and orders that extend it.
  var leaseEnd: int
  var orders: Set[int]

  // Leader 2: who supports it, since when leader 1 lacks support, and since when it is known to have stopped.
  var joined: Set[int]
  var answered: Set[int]
  var withoutFollowersSince: int
  var withoutWorkersSince: int
  var stoppedSince: int
  var startedElsewhere: bool

  def since(instant) = now - instant

  def isSupported = and {
    recordedFollowers.filter(f => since(followedAt.get(f)) < FOLLOWER_WITHIN).size() > MISSABLE_FOLLOWERS,
    recordedWorkers.filter(w => since(workerAt.get(w)) < WORKER_WITHIN).size() > MISSABLE_WORKERS,
  }
  def firstMayAct = and {
    not(suspended),
    since(confirmedAt) < UNSUPPORTED_LIMIT or (since(confirmedAt) < SUPPORTED_LIMIT and isSupported),
  }
  def isRunning = now < leaseEnd

  def neverTwice = not(isRunning and startedElsewhere)
  def startsByWorkers = startedElsewhere and withoutFollowersSince == NEVER and now < secondSince + SUPPORTED_LIMIT
  def actsUnconfirmed = firstMayAct and since(confirmedAt) >= UNSUPPORTED_LIMIT

  action init = all {
    now' = 0, suspended' = false, uncounted' = 0,
    term' = 1, secondSince' = NEVER,
    confirmedAt' = 0, answerSentAt' = NEVER,
    followedAt' = FOLLOWERS.mapBy(_ => 0), workerAt' = WORKERS.mapBy(_ => 0),
    recordedFollowers' = FOLLOWERS, recordedWorkers' = WORKERS,
    follows' = FOLLOWERS.mapBy(_ => 1), answeredAt' = FOLLOWERS.mapBy(_ => 0), pings' = Set(),
    heard' = WORKERS.mapBy(_ => 1), life' = WORKERS.mapBy(_ => 1), knownLife' = WORKERS.mapBy(_ => 1), calls' = Set(),
    reports' = Set(),
    leaseEnd' = LEASE, orders' = Set(),
    joined' = Set(), answered' = Set(),
    withoutFollowersSince' = NEVER, withoutWorkersSince' = NEVER, stoppedSince' = NEVER, startedElsewhere' = false,
  }

  action keepTime = all { now' = now, suspended' = suspended, uncounted' = uncounted }
  action keepStore = all { term' = term, secondSince' = secondSince }
  action keepConfirmation = all { confirmedAt' = confirmedAt, answerSentAt' = answerSentAt }
  action keepVotes = all { followedAt' = followedAt, workerAt' = workerAt }
  action keepRecord = all { recordedFollowers' = recordedFollowers, recordedWorkers' = recordedWorkers }
  action keepFollowers = all { follows' = follows, answeredAt' = answeredAt, pings' = pings }
  action keepWorkers = all { heard' = heard, life' = life, knownLife' = knownLife, calls' = calls, reports' = reports }
  action keepLease = all { leaseEnd' = leaseEnd, orders' = orders }
  action keepSupport = all { joined' = joined, answered' = answered }
  action keepKnowledge = all {
    withoutFollowersSince' = withoutFollowersSince, withoutWorkersSince' = withoutWorkersSince,
    stoppedSince' = stoppedSince, startedElsewhere' = startedElsewhere,
  }
  action keepSecond = all { keepSupport, keepKnowledge }

  action tick = all {
    now' = now + 1,
    uncounted' = if (suspended) uncounted + 1 else uncounted,
    suspended' = suspended,
    keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSecond,
  }

  action suspendOrResume = all {
    suspended' = not(suspended),
    now' = now, uncounted' = uncounted,
    keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSecond,
  }

  // The store takes a call of leader 1 while it leads. The answer may be read much later.
  action storeConfirms = all {
    term == 1, not(suspended),
    answerSentAt' = now, confirmedAt' = confirmedAt,
    keepTime, keepStore, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSecond,
  }
  action firstReadsAnswer = all {
    not(suspended),
    confirmedAt' = if (answerSentAt > confirmedAt) answerSentAt else confirmedAt,
    answerSentAt' = answerSentAt,
    keepTime, keepStore, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSecond,
  }

  // Leader 1 writes its record anew, with the lives that it knows.
  action firstRecords = all {
    term == 1, not(suspended),
    recordedFollowers' = FOLLOWERS, recordedWorkers' = WORKERS,
    keepTime, keepStore, keepConfirmation, keepVotes, keepFollowers, keepWorkers, keepLease, keepSecond,
  }

  action secondClaims = all {
    term == 1,
    term' = 2, secondSince' = now,
    keepTime, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSecond,
  }

  // Some of those that follow leader 1, and of the workers that it knows, answer it at once.
  action firstIsInTouch = all {
    not(suspended),
    nondet reached = FOLLOWERS.powerset().oneOf()
    nondet asked = WORKERS.powerset().oneOf()
    val pinging = reached.filter(f => follows.get(f) == 1 and answeredAt.get(f) != NEVER)
    val obeying = asked.filter(w => heard.get(w) <= 1 and knownLife.get(w) == life.get(w))
    all {
      followedAt' = FOLLOWERS.mapBy(f => if (pinging.contains(f)) now else followedAt.get(f)),
      answeredAt' = FOLLOWERS.mapBy(f => if (pinging.contains(f)) now else answeredAt.get(f)),
      workerAt' = WORKERS.mapBy(w => if (obeying.contains(w)) now else workerAt.get(w)),
      heard' = WORKERS.mapBy(w => if (obeying.contains(w)) 1 else heard.get(w)),
    },
    follows' = follows, pings' = pings, life' = life, knownLife' = knownLife, calls' = calls, reports' = reports,
    keepTime, keepStore, keepConfirmation, keepRecord, keepLease, keepSecond,
  }

  action followerPings = all {
    nondet f = FOLLOWERS.oneOf()
    all {
      follows.get(f) == 1,
      pings' = pings.union(Set({ from: f, answeredAt: answeredAt.get(f) })),
    },
    follows' = follows, answeredAt' = answeredAt,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepWorkers, keepLease, keepSecond,
  }
  // A process that has just started has had no answer yet. It has to be recorded again.
  action firstReadsPing = all {
    not(suspended), pings.size() > 0,
    nondet ping = pings.oneOf()
    all {
      pings' = pings.exclude(Set(ping)),
      recordedFollowers' = if (ping.answeredAt == NEVER) recordedFollowers.exclude(Set(ping.from)) else recordedFollowers,
      followedAt' = if (ping.answeredAt > followedAt.get(ping.from)) followedAt.set(ping.from, ping.answeredAt) else followedAt,
      answeredAt' = if (follows.get(ping.from) == 1) answeredAt.set(ping.from, now) else answeredAt,
    },
    follows' = follows, recordedWorkers' = recordedWorkers, workerAt' = workerAt,
    keepTime, keepStore, keepConfirmation, keepWorkers, keepLease, keepSecond,
  }
  action followerRestarts = all {
    nondet f = FOLLOWERS.oneOf()
    all { follows' = follows.set(f, 1), answeredAt' = answeredAt.set(f, NEVER) },
    pings' = pings,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepWorkers, keepLease, keepSecond,
  }
  action followerJoins = all {
    term == 2,
    nondet f = FOLLOWERS.oneOf()
    all { follows' = follows.set(f, 2), joined' = joined.union(Set(f)) },
    answeredAt' = answeredAt, pings' = pings, answered' = answered,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepWorkers, keepLease, keepKnowledge,
  }

  action firstAsks = all {
    not(suspended),
    nondet w = WORKERS.oneOf()
    calls' = calls.union(Set({ to: w, sentAt: now })),
    heard' = heard, life' = life, knownLife' = knownLife, reports' = reports,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepLease, keepSecond,
  }
  // A worker that knows a later leader refuses.
  action workerReports = all {
    calls.size() > 0,
    nondet call = calls.oneOf()
    val w = call.to
    val obeys = heard.get(w) <= 1
    all {
      calls' = calls.exclude(Set(call)),
      heard' = if (obeys) heard.set(w, 1) else heard,
      reports' = if (obeys) reports.union(Set({ from: w, life: life.get(w), sentAt: call.sentAt })) else reports,
    },
    life' = life, knownLife' = knownLife,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepLease, keepSecond,
  }
  // A worker that leader 1 has just met in this life has to be recorded again.
  action firstReadsReport = all {
    not(suspended), reports.size() > 0,
    nondet report = reports.oneOf()
    val w = report.from
    val isMet = knownLife.get(w) == report.life
    all {
      reports' = reports.exclude(Set(report)),
      knownLife' = knownLife.set(w, report.life),
      recordedWorkers' = if (isMet) recordedWorkers else recordedWorkers.exclude(Set(w)),
      workerAt' = if (report.sentAt > workerAt.get(w)) workerAt.set(w, report.sentAt) else workerAt,
    },
    heard' = heard, life' = life, calls' = calls, recordedFollowers' = recordedFollowers, followedAt' = followedAt,
    keepTime, keepStore, keepConfirmation, keepFollowers, keepLease, keepSecond,
  }
  action workerRestarts = all {
    nondet w = WORKERS.exclude(Set(0)).oneOf()
    all { heard' = heard.set(w, 0), life' = life.set(w, life.get(w) + 1) },
    knownLife' = knownLife, calls' = calls, reports' = reports,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepLease, keepSecond,
  }
  action secondHears = all {
    term == 2,
    nondet w = WORKERS.exclude(Set(0)).oneOf()
    all { heard' = heard.set(w, 2), answered' = answered.union(Set(w)) },
    life' = life, knownLife' = knownLife, calls' = calls, reports' = reports, joined' = joined,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepLease, keepKnowledge,
  }

  action firstExtends = all {
    firstMayAct,
    orders' = orders.union(Set(now + LEASE)), leaseEnd' = leaseEnd,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepSecond,
  }
  action orderArrives = all {
    orders.size() > 0,
    nondet order = orders.oneOf()
    leaseEnd' = if (order > leaseEnd) order else leaseEnd,
    orders' = orders,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepSecond,
  }

  action secondChecks = all {
    term == 2,
    val lacksFollowers = FOLLOWERS.exclude(joined).size() <= MISSABLE_FOLLOWERS
    val lacksWorkers = WORKERS.exclude(answered).size() <= MISSABLE_WORKERS
    val hasStopped = or {
      withoutFollowersSince != NEVER and now - withoutFollowersSince > FOLLOWER_WITHIN,
      withoutWorkersSince != NEVER and now - withoutWorkersSince > WORKER_WITHIN,
      now - secondSince > SUPPORTED_LIMIT,
    }
    all {
      withoutFollowersSince' = if (lacksFollowers and withoutFollowersSince == NEVER) now else withoutFollowersSince,
      withoutWorkersSince' = if (lacksWorkers and withoutWorkersSince == NEVER) now else withoutWorkersSince,
      stoppedSince' = if (hasStopped and stoppedSince == NEVER) now else stoppedSince,
    },
    startedElsewhere' = startedElsewhere,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSupport,
  }
  action secondStarts = all {
    stoppedSince != NEVER,
    now > stoppedSince + STRETCHED_LEASE,
    startedElsewhere' = true,
    withoutFollowersSince' = withoutFollowersSince, withoutWorkersSince' = withoutWorkersSince, stoppedSince' = stoppedSince,
    keepTime, keepStore, keepConfirmation, keepVotes, keepRecord, keepFollowers, keepWorkers, keepLease, keepSupport,
  }

  action step = any {
    tick, tick, tick, tick, tick, tick,
    suspendOrResume,
    storeConfirms, firstReadsAnswer,
    firstRecords,
    secondClaims,
    firstIsInTouch, firstIsInTouch, firstIsInTouch,
    followerPings, firstReadsPing,
    followerRestarts,
    followerJoins, followerJoins,
    firstAsks, workerReports, firstReadsReport,
    workerRestarts,
    secondHears, secondHears,
    firstExtends, firstExtends, orderArrives, orderArrives,
    secondChecks, secondChecks, secondStarts,
  }
}
