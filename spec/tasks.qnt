// One task, two workers, and the owners of the first worker one after another.
//
// Owner 1 starts attempt 1 on worker 1 under a lease that counts from an instant on the worker's clock; orders may
// arrive late. Owner 1 loses its right at some time. Owner 2 takes over with the next epoch, and tells the home that
// attempt 1 has surely ended only after it has heard the worker, or after a stretched lease. The home then starts
// attempt 2 on worker 2. The worker restarts and forgets at any time.
module tasks {
  pure val LEASE = 16
  pure val STRETCHED_LEASE = 20
  pure val TICK = 4
  pure val FAST_TICK = 5

  type Order = { epoch: int, boot: int, basis: int }

  // Clocks: of worker 1, and of the owners.
  var workerClock: int
  var ownerClock: int
  var workerIsSlow: bool

  // Worker 1.
  var boot: int
  var workerEpoch: int
  var running: bool
  var leaseEnd: int
  // Attempt 1 has started at some time, and its outcome is kept for whoever asks.
  var starts: int
  var keepsOutcome: bool

  // Orders to start attempt 1, and renewals, on their way.
  var orders: Set[Order]
  var renewals: Set[Order]

  // Owner 1: what it knows of the worker, and whether it may act.
  var firstMayAct: bool
  var firstBoot: int
  var firstBasis: int
  var hasOrdered: bool

  // Owner 2.
  var secondActs: bool
  var secondSince: int
  // What owner 2 has found: "", "running", "gone".
  var found: str

  // Attempt 2 was started on worker 2 by the home.
  var secondAttempt: bool

  def neverInTwoPlaces = not(running and secondAttempt)
  // An order is carried out by at most one boot of the worker.
  def startedOnce = starts <= 1

  action init = all {
    workerClock' = 0,
    ownerClock' = 0,
    nondet slow = Set(true, false).oneOf()
    workerIsSlow' = slow,
    boot' = 1,
    workerEpoch' = 1,
    running' = false,
    leaseEnd' = 0,
    starts' = 0,
    keepsOutcome' = false,
    orders' = Set(),
    renewals' = Set(),
    firstMayAct' = true,
    firstBoot' = 1,
    firstBasis' = 0,
    hasOrdered' = false,
    secondActs' = false,
    secondSince' = 0,
    found' = "",
    secondAttempt' = false,
  }

  action keepWorker = all {
    boot' = boot, workerEpoch' = workerEpoch, running' = running, leaseEnd' = leaseEnd, starts' = starts,
    keepsOutcome' = keepsOutcome,
  }
  action keepFirst = all {
    firstMayAct' = firstMayAct, firstBoot' = firstBoot, firstBasis' = firstBasis, hasOrdered' = hasOrdered,
  }
  action keepSecond = all {
    secondActs' = secondActs, secondSince' = secondSince, found' = found, secondAttempt' = secondAttempt,
  }
  action keepOrders = all { orders' = orders, renewals' = renewals }
  action keepClocks = all { workerClock' = workerClock, ownerClock' = ownerClock, workerIsSlow' = workerIsSlow }

  // Time passes; a task whose lease has lapsed is stopped by its worker.
  action tick = all {
    val later = workerClock + if (workerIsSlow) TICK else FAST_TICK
    all {
      workerClock' = later,
      running' = (running and later < leaseEnd),
      keepsOutcome' = (keepsOutcome or (running and later >= leaseEnd)),
    },
    ownerClock' = ownerClock + FAST_TICK,
    workerIsSlow' = workerIsSlow,
    boot' = boot, workerEpoch' = workerEpoch, leaseEnd' = leaseEnd, starts' = starts,
    keepFirst, keepSecond, keepOrders,
  }

  // Owner 1 hears a report and learns the worker's clock and boot.
  action firstHears = all {
    firstMayAct,
    workerEpoch <= 1,
    firstBasis' = workerClock,
    // A restarted worker ends what was given to its earlier boot: owner 1 never orders attempt 1 again.
    firstBoot' = if (hasOrdered) firstBoot else boot,
    firstMayAct' = firstMayAct,
    hasOrdered' = hasOrdered,
    keepWorker, keepSecond, keepOrders, keepClocks,
  }

  action firstOrders = all {
    firstMayAct,
    orders' = orders.union(Set({ epoch: 1, boot: firstBoot, basis: firstBasis })),
    renewals' = renewals,
    firstMayAct' = firstMayAct, firstBoot' = firstBoot, firstBasis' = firstBasis,
    hasOrdered' = true,
    keepWorker, keepSecond, keepClocks,
  }

  action firstRenews = all {
    firstMayAct,
    hasOrdered,
    renewals' = renewals.union(Set({ epoch: 1, boot: firstBoot, basis: firstBasis })),
    orders' = orders,
    keepWorker, keepFirst, keepSecond, keepClocks,
  }

  action orderArrives = all {
    orders.size() > 0,
    nondet order = orders.oneOf()
    val obeyed = and {
      order.epoch >= workerEpoch,
      order.boot == boot,
      order.basis + LEASE > workerClock,
      not(running),
      not(keepsOutcome),
    }
    all {
      // An order may be repeated: it stays on its way.
      orders' = orders,
      running' = (running or obeyed),
      starts' = if (obeyed) starts + 1 else starts,
      leaseEnd' = if (obeyed) order.basis + LEASE else leaseEnd,
    },
    renewals' = renewals,
    boot' = boot, workerEpoch' = workerEpoch, keepsOutcome' = keepsOutcome,
    keepFirst, keepSecond, keepClocks,
  }

  action renewalArrives = all {
    renewals.size() > 0,
    nondet renewal = renewals.oneOf()
    val obeyed = renewal.epoch >= workerEpoch and renewal.boot == boot and running
    all {
      // A renewal may be delivered again, at any later time.
      renewals' = renewals,
      leaseEnd' = if (obeyed and renewal.basis + LEASE > leaseEnd) renewal.basis + LEASE else leaseEnd,
    },
    orders' = orders,
    boot' = boot, workerEpoch' = workerEpoch, running' = running, starts' = starts, keepsOutcome' = keepsOutcome,
    keepFirst, keepSecond, keepClocks,
  }

  // The worker restarts: what ran is gone, and so is all that it knew.
  action workerRestarts = all {
    boot < 3,
    boot' = boot + 1,
    workerEpoch' = 0,
    running' = false,
    leaseEnd' = 0,
    starts' = starts,
    keepsOutcome' = false,
    keepFirst, keepSecond, keepOrders, keepClocks,
  }

  // Owner 1 loses its right; only then may owner 2 act.
  action firstEnds = all {
    firstMayAct' = false,
    firstBoot' = firstBoot, firstBasis' = firstBasis, hasOrdered' = hasOrdered,
    keepWorker, keepSecond, keepOrders, keepClocks,
  }

  action secondBegins = all {
    not(firstMayAct),
    not(secondActs),
    secondActs' = true,
    secondSince' = ownerClock,
    found' = found,
    secondAttempt' = secondAttempt,
    keepWorker, keepFirst, keepOrders, keepClocks,
  }

  // Owner 2 hears the worker under its own epoch: from then on lower ones are refused there.
  action secondHears = all {
    secondActs,
    workerEpoch' = 2,
    found' = if (running) "running" else "gone",
    boot' = boot, running' = running, leaseEnd' = leaseEnd, starts' = starts, keepsOutcome' = keepsOutcome,
    secondActs' = secondActs, secondSince' = secondSince, secondAttempt' = secondAttempt,
    keepFirst, keepOrders, keepClocks,
  }

  // Owner 2 cannot reach the worker, and waits until its leases have surely lapsed.
  action secondWaits = all {
    secondActs,
    found == "",
    ownerClock > secondSince + STRETCHED_LEASE,
    found' = "gone",
    secondActs' = secondActs, secondSince' = secondSince, secondAttempt' = secondAttempt,
    keepWorker, keepFirst, keepOrders, keepClocks,
  }

  action homeRestarts = all {
    secondActs,
    found == "gone",
    secondAttempt' = true,
    secondActs' = secondActs, secondSince' = secondSince, found' = found,
    keepWorker, keepFirst, keepOrders, keepClocks,
  }

  action step = any {
    tick, tick, tick,
    firstHears, firstHears,
    firstOrders, firstRenews, firstRenews,
    orderArrives, orderArrives,
    renewalArrives, renewalArrives,
    workerRestarts,
    firstEnds,
    secondBegins, secondBegins,
    secondHears,
    secondWaits, secondWaits,
    homeRestarts, homeRestarts,
  }

  def restartedAfterRun = secondAttempt and starts > 0
}
