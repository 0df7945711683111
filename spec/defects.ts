/** Defects put into the specifications on purpose. Each is one line, and some invariant must catch it. */

export interface Defect {
  readonly name: string
  readonly specification: "holder" | "tasks" | "relays" | "withdrawal"
  readonly find: string
  readonly replace: string
  /** The invariant that must fail. */
  readonly invariant: string
}

export const DEFECTS: readonly Defect[] = [
  {
    name: "a holder acts without its successors' promises",
    specification: "holder",
    find: "possibleSuccessors.forall(s => holderClock < promises.get(s) - MARGIN),",
    replace: "true,",
    invariant: "oneHolder",
  },
  {
    name: "a holder forgets the successors of a write whose reply was lost",
    specification: "holder",
    find: "if (isPending) knownSuccessors.union(pendingSuccessors) else knownSuccessors",
    replace: "knownSuccessors",
    invariant: "oneHolder",
  },
  {
    name: "a promise counts from its arrival",
    specification: "holder",
    find: "if (reply.askedAt + TERM > promises.get(reply.from)) reply.askedAt + TERM else promises.get(reply.from)",
    replace: "holderClock + TERM",
    invariant: "oneHolder",
  },
  {
    name: "a successor does not allow for the drift of clocks",
    specification: "holder",
    find: "pure val STRETCHED_TERM = 20",
    replace: "pure val STRETCHED_TERM = 12",
    invariant: "oneHolder",
  },
  {
    name: "a restarted successor fences at once",
    specification: "holder",
    find: "clocks.get(s) > startedAt.get(s) + STRETCHED_TERM,",
    replace: "true,",
    invariant: "oneHolder",
  },
  {
    name: "a successor fences while its promise stands",
    specification: "holder",
    find: "clocks.get(s) > promisedUntil.get(s),",
    replace: "true,",
    invariant: "oneHolder",
  },
  {
    name: "a successor promises while a write of its own that fences is under way",
    specification: "holder",
    find: '    fencing.get(s) == 0,\n    views.get(s).state == "active",\n    views.get(s).version > tried.get(s),',
    replace: '    views.get(s).state == "active",',
    invariant: "noPromiseBesideFencing",
  },
  {
    name: "a restarted successor promises on the version that it reads first",
    specification: "holder",
    find: "not(views.get(s).successors.contains(s)) or views.get(s).version > firstSeen.get(s),",
    replace: "true,",
    invariant: "noPromiseBesideFencing",
  },
  {
    name: "an instance that is no successor fences without waiting out the grace",
    specification: "holder",
    find: "pure val STRETCHED_GRACE = 100",
    replace: "pure val STRETCHED_GRACE = 20",
    invariant: "oneHolder",
  },
  {
    name: "a holder takes a write as done that it has only sent",
    specification: "holder",
    find: "pendingSentAt' = if (isPending) pendingSentAt else holderClock,\n    },\n    replies' = replies,\n    knownVersion' = knownVersion,",
    replace:
      "pendingSentAt' = if (isPending) pendingSentAt else holderClock,\n    },\n    replies' = replies,\n    knownVersion' = knownVersion + 1,",
    invariant: "knowledgeIsOld",
  },
  {
    name: "a late renewal extends a lease from its arrival",
    specification: "tasks",
    find: "leaseEnd' = if (obeyed and renewal.basis + LEASE > leaseEnd) renewal.basis + LEASE else leaseEnd,",
    replace: "leaseEnd' = if (obeyed) workerClock + LEASE else leaseEnd,",
    invariant: "neverInTwoPlaces",
  },
  {
    name: "a worker takes a start whose lease would have ended",
    specification: "tasks",
    find: "order.basis + LEASE > workerClock,\n",
    replace: "true,\n",
    invariant: "neverInTwoPlaces",
  },
  {
    name: "a worker takes orders of an epoch that has passed",
    specification: "tasks",
    find: "order.epoch >= workerEpoch,",
    replace: "true,",
    invariant: "neverInTwoPlaces",
  },
  {
    name: "the next owner does not wait until leases have surely lapsed",
    specification: "tasks",
    find: "ownerClock > secondSince + STRETCHED_LEASE,",
    replace: "true,",
    invariant: "neverInTwoPlaces",
  },
  {
    name: "a restarted worker takes orders that were meant for its earlier boot",
    specification: "tasks",
    find: "order.boot == boot,",
    replace: "true,",
    invariant: "startedOnce",
  },
  {
    name: "a worker starts an attempt again whose outcome it still keeps",
    specification: "tasks",
    find: "not(keepsOutcome),",
    replace: "true,",
    invariant: "startedOnce",
  },
  {
    name: "a relay acknowledges ends without regard to the incarnation that the leader has read them of",
    specification: "relays",
    find: "val isMeant = confirmedLife.get(relay) == knownLife",
    replace: "val isMeant = confirmedLife.get(relay) > 0",
    invariant: "noEndIsLost",
  },
  {
    name: "ends are acknowledged over a connection that may lead to a later incarnation",
    specification: "relays",
    find: "val isMeant = confirmedLife.get(relay) == knownLife",
    replace: "val isMeant = true",
    invariant: "noEndIsLost",
  },
  {
    name: "a confirmation counts from the receipt of its answer",
    specification: "withdrawal",
    find: "val at = call.sentAt - call.age",
    replace: "val at = clocks.get(p) - call.age",
    invariant: "neverServedLate",
  },
  {
    name: "a follower does not add the age that the leader tells",
    specification: "withdrawal",
    find: "val at = call.sentAt - call.age",
    replace: "val at = call.sentAt",
    invariant: "neverServedLate",
  },
  {
    name: "a suspension does not count",
    specification: "withdrawal",
    find: "clocks' = clocks.set(p, clocks.get(p) + missed.get(p)),",
    replace: "clocks' = clocks,",
    invariant: "neverServedLate",
  },
  {
    name: "a new process takes the configuration that it is given for confirmed",
    specification: "withdrawal",
    find: "confirmedAt' = confirmedAt.set(p, NEVER),",
    replace: "confirmedAt' = confirmedAt.set(p, clocks.get(p)),",
    invariant: "neverServedLate",
  },
  {
    name: "an answer with an older version confirms a newer one",
    specification: "withdrawal",
    find: "versions' = if (call.version > versions.get(p)) versions.set(p, call.version) else versions,",
    replace: "versions' = versions.set(p, call.version),",
    invariant: "neverServedLate",
  },
]
