// The right of one holder to act, its successors, and the store between them.
//
// One holder "a" names the successors "b" and "c" in its record; "d" is an instance that is no successor. Calls to
// the store travel apart from their replies, so that a write may take effect late, and a reply may be lost. Clocks
// run at different rates within the drift bound. A pause is a holder that takes no step while clocks go on.
module holder {
  // Units of the holder's clock. A successor's clock may run faster by a quarter, which the stretched spans cover.
  pure val TERM = 16
  pure val STRETCHED_TERM = 20
  pure val GRACE = 80
  pure val STRETCHED_GRACE = 100
  pure val MARGIN = 2
  pure val TICK = 4
  pure val FAST_TICK = 5

  pure val SUCCESSORS = Set("b", "c")
  pure val OTHERS = Set("b", "c", "d")

  type Write = { by: str, expected: int, state: str, successors: Set[str] }
  type Record = { version: int, state: str, successors: Set[str] }

  pure val NOTHING_READ: Record = { version: 0, state: "unknown", successors: Set() }

  var record: Record
  // Writes on their way to the store.
  var writes: Set[Write]
  // Promises on their way from a successor to the holder: the instant at which the holder asked.
  var replies: Set[{ from: str, askedAt: int }]
  var storeUp: bool

  // The holder.
  var holderClock: int
  var knownVersion: int
  var knownSuccessors: Set[str]
  var pendingSuccessors: Set[str]
  var isPending: bool
  var pendingSentAt: int
  var renewedAt: int
  var promises: str -> int
  var ended: bool

  // The other instances.
  var clocks: str -> int
  var fast: str -> bool
  var startedAt: str -> int
  var promisedUntil: str -> int
  var fencing: str -> int
  // Version that the instance tried to fence last.
  var tried: str -> int
  // What the instance has last read of the record, the version that it read first, and when the last one was new.
  var views: str -> Record
  var firstSeen: str -> int
  var seenAt: str -> int

  def possibleSuccessors = if (isPending) knownSuccessors.union(pendingSuccessors) else knownSuccessors

  def mayAct = and {
    not(ended),
    holderClock < renewedAt + GRACE - MARGIN,
    possibleSuccessors.forall(s => holderClock < promises.get(s) - MARGIN),
  }

  // Once the record says fenced, another instance may claim the holder's groups and act.
  def oneHolder = not(record.state == "fenced" and mayAct)

  // The holder never believes in a version that the store has not reached.
  def knowledgeIsOld = knownVersion <= record.version

  // A fencing write that may still take effect never meets a promise that the holder relies on: whoever has such a
  // write on its way to the current version has promised nothing that reaches further.
  def noPromiseBesideFencing = writes.forall(write =>
    not(write.state == "fenced" and write.expected == record.version and record.state == "active" and mayAct
      and possibleSuccessors.contains(write.by) and SUCCESSORS.contains(write.by)))

  action init = all {
    record' = { version: 1, state: "active", successors: SUCCESSORS },
    writes' = Set(),
    replies' = Set(),
    storeUp' = true,
    holderClock' = 0,
    knownVersion' = 1,
    knownSuccessors' = SUCCESSORS,
    pendingSuccessors' = Set(),
    isPending' = false,
    pendingSentAt' = 0,
    renewedAt' = 0,
    promises' = SUCCESSORS.mapBy(s => 0),
    ended' = false,
    clocks' = OTHERS.mapBy(s => 0),
    nondet speeds = OTHERS.setOfMaps(Set(true, false)).oneOf()
    fast' = speeds,
    startedAt' = OTHERS.mapBy(s => 0),
    promisedUntil' = OTHERS.mapBy(s => 0),
    fencing' = OTHERS.mapBy(s => 0),
    tried' = OTHERS.mapBy(s => 0),
    views' = OTHERS.mapBy(s => NOTHING_READ),
    firstSeen' = OTHERS.mapBy(s => 0),
    seenAt' = OTHERS.mapBy(s => 0),
  }

  action keepHolder = all {
    knownVersion' = knownVersion,
    knownSuccessors' = knownSuccessors,
    pendingSuccessors' = pendingSuccessors,
    isPending' = isPending,
    pendingSentAt' = pendingSentAt,
    renewedAt' = renewedAt,
    promises' = promises,
    ended' = ended,
  }

  action keepOthers = all {
    startedAt' = startedAt,
    promisedUntil' = promisedUntil,
    fencing' = fencing,
    tried' = tried,
    views' = views,
    firstSeen' = firstSeen,
    seenAt' = seenAt,
  }

  action keepClocks = all { holderClock' = holderClock, clocks' = clocks, fast' = fast }
  action keepStore = all { record' = record, storeUp' = storeUp }

  action tick = all {
    holderClock' = holderClock + TICK,
    clocks' = OTHERS.mapBy(s => clocks.get(s) + if (fast.get(s)) FAST_TICK else TICK),
    fast' = fast,
    writes' = writes,
    replies' = replies,
    keepHolder, keepOthers, keepStore,
  }

  action storeChanges = all {
    storeUp' = not(storeUp),
    record' = record,
    writes' = writes,
    replies' = replies,
    keepHolder, keepOthers, keepClocks,
  }

  // The holder sends a renewal, perhaps with other successors. The instant counts from before it is sent.
  action sendRenewal = all {
    not(ended),
    nondet named = SUCCESSORS.powerset().oneOf()
    all {
      writes' = writes.union(Set({ by: "a", expected: knownVersion, state: "active", successors: named })),
      pendingSuccessors' = (if (isPending) pendingSuccessors else Set()).union(named),
      isPending' = true,
      pendingSentAt' = if (isPending) pendingSentAt else holderClock,
    },
    replies' = replies,
    knownVersion' = knownVersion,
    knownSuccessors' = knownSuccessors,
    renewedAt' = renewedAt,
    promises' = promises,
    ended' = ended,
    keepOthers, keepClocks, keepStore,
  }

  // A write reaches the store: it takes effect if the version is the one expected. Its reply is always lost here;
  // whoever sent it reads the record back.
  action writeArrives = all {
    storeUp,
    writes.size() > 0,
    nondet write = writes.oneOf()
    all {
      writes' = writes.exclude(Set(write)),
      record' = if (write.expected == record.version and record.state == "active")
        { version: record.version + 1, state: write.state, successors: write.successors }
      else record,
    },
    storeUp' = storeUp,
    replies' = replies,
    keepHolder, keepOthers, keepClocks,
  }

  action writeIsDropped = all {
    writes.size() > 0,
    nondet write = writes.oneOf()
    writes' = writes.exclude(Set(write)),
    replies' = replies,
    keepHolder, keepOthers, keepClocks, keepStore,
  }

  // The holder reads its record back and settles what it has sent.
  action readBack = all {
    storeUp,
    not(ended),
    if (record.state == "fenced") all {
      ended' = true,
      knownVersion' = knownVersion,
      knownSuccessors' = knownSuccessors,
      pendingSuccessors' = pendingSuccessors,
      isPending' = isPending,
      renewedAt' = renewedAt,
    } else if (record.version > knownVersion) all {
      ended' = ended,
      knownVersion' = record.version,
      knownSuccessors' = record.successors,
      pendingSuccessors' = Set(),
      isPending' = false,
      renewedAt' = if (isPending) pendingSentAt else renewedAt,
    } else all {
      ended' = ended,
      knownVersion' = knownVersion,
      knownSuccessors' = knownSuccessors,
      pendingSuccessors' = pendingSuccessors,
      isPending' = isPending,
      renewedAt' = renewedAt,
    },
    pendingSentAt' = pendingSentAt,
    promises' = promises,
    writes' = writes,
    replies' = replies,
    keepOthers, keepClocks, keepStore,
  }

  // A successor promises only on a record that it has read as active and that no write of its own, or of an earlier
  // life of its, can still replace: one that is newer than what it read first, or that does not name it.
  def mayPromise(s) = and {
    fencing.get(s) == 0,
    views.get(s).state == "active",
    views.get(s).version > tried.get(s),
    not(views.get(s).successors.contains(s)) or views.get(s).version > firstSeen.get(s),
  }

  // A successor is asked and promises. The reply may reach the holder at any later time, or never.
  action promise = all {
    not(ended),
    nondet s = SUCCESSORS.oneOf()
    all {
      mayPromise(s),
      promisedUntil' = promisedUntil.set(s, clocks.get(s) + STRETCHED_TERM),
      replies' = replies.union(Set({ from: s, askedAt: holderClock })),
    },
    startedAt' = startedAt,
    fencing' = fencing,
    tried' = tried,
    views' = views,
    firstSeen' = firstSeen,
    seenAt' = seenAt,
    writes' = writes,
    keepHolder, keepClocks, keepStore,
  }

  action promiseArrives = all {
    replies.size() > 0,
    nondet reply = replies.oneOf()
    all {
      replies' = replies.exclude(Set(reply)),
      promises' = promises.set(reply.from, if (reply.askedAt + TERM > promises.get(reply.from)) reply.askedAt + TERM else promises.get(reply.from)),
    },
    knownVersion' = knownVersion,
    knownSuccessors' = knownSuccessors,
    pendingSuccessors' = pendingSuccessors,
    isPending' = isPending,
    pendingSentAt' = pendingSentAt,
    renewedAt' = renewedAt,
    ended' = ended,
    writes' = writes,
    keepOthers, keepClocks, keepStore,
  }

  // A successor restarts and remembers nothing of what it promised, or of what it has sent to the store.
  action successorRestarts = all {
    nondet s = SUCCESSORS.oneOf()
    all {
      startedAt' = startedAt.set(s, clocks.get(s)),
      promisedUntil' = promisedUntil.set(s, 0),
      fencing' = fencing.set(s, 0),
      tried' = tried.set(s, 0),
      views' = views.set(s, NOTHING_READ),
      firstSeen' = firstSeen.set(s, 0),
    },
    seenAt' = seenAt,
    writes' = writes,
    replies' = replies,
    keepHolder, keepClocks, keepStore,
  }

  // Any instance reads the record, and notices since when it stands still.
  action observe = all {
    storeUp,
    nondet s = OTHERS.oneOf()
    all {
      record.version > views.get(s).version,
      views' = views.set(s, record),
      firstSeen' = if (firstSeen.get(s) == 0) firstSeen.set(s, record.version) else firstSeen,
      seenAt' = seenAt.set(s, clocks.get(s)),
    },
    startedAt' = startedAt,
    promisedUntil' = promisedUntil,
    fencing' = fencing,
    tried' = tried,
    writes' = writes,
    replies' = replies,
    keepHolder, keepClocks, keepStore,
  }

  def mayFenceAsSuccessor(s) = and {
    views.get(s).successors.contains(s),
    clocks.get(s) > startedAt.get(s) + STRETCHED_TERM,
    clocks.get(s) > promisedUntil.get(s),
  }

  def mayFenceAfterGrace(s) = clocks.get(s) > seenAt.get(s) + STRETCHED_GRACE

  // An instance sends the write that fences the holder, based on the version that it has read.
  action beginFencing = all {
    nondet s = OTHERS.oneOf()
    all {
      fencing.get(s) == 0,
      views.get(s).state == "active",
      mayFenceAsSuccessor(s) or mayFenceAfterGrace(s),
      fencing' = fencing.set(s, views.get(s).version),
      tried' = tried.set(s, views.get(s).version),
      writes' = writes.union(Set({
        by: s, expected: views.get(s).version, state: "fenced", successors: views.get(s).successors })),
    },
    startedAt' = startedAt,
    promisedUntil' = promisedUntil,
    views' = views,
    firstSeen' = firstSeen,
    seenAt' = seenAt,
    replies' = replies,
    keepHolder, keepClocks, keepStore,
  }

  // The fate of a fencing write is settled once the record has moved on from the version that it expects.
  action settleFencing = all {
    storeUp,
    nondet s = OTHERS.oneOf()
    all {
      fencing.get(s) != 0,
      record.version != fencing.get(s),
      fencing' = fencing.set(s, 0),
    },
    startedAt' = startedAt,
    promisedUntil' = promisedUntil,
    tried' = tried,
    views' = views,
    firstSeen' = firstSeen,
    seenAt' = seenAt,
    writes' = writes,
    replies' = replies,
    keepHolder, keepClocks, keepStore,
  }

  action step = any {
    tick, tick, tick,
    storeChanges,
    sendRenewal,
    writeArrives, writeArrives,
    writeIsDropped,
    readBack, readBack,
    promise, promise, promise,
    promiseArrives, promiseArrives, promiseArrives,
    successorRestarts,
    observe, observe, observe,
    beginFencing, beginFencing,
    settleFencing,
  }

  // Reached when the model is of use: the holder acts while the store is down, and a fenced record.
  def actsThroughOutage = not(storeUp) and mayAct and holderClock > 20
  def isFenced = record.state == "fenced"
}
