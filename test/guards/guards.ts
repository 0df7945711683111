/** Guards of the promises. With a guard taken out, the named test must fail. Lines are those of the built files. */

export interface Guard {
  readonly name: string
  readonly file: string
  readonly find: string
  readonly replace: string
  readonly test: string
  readonly match: string
}

const OWNERSHIP = "failures/ownership.test.js"
const ANSWERS = "requests/answers.test.js"

export const GUARDS: readonly Guard[] = [
  {
    name: "a holder checks its right next to the act",
    file: "ownership/lease.js",
    find: "return now < rightEndsAt(lease);",
    replace: "return !lease.ended && lease.version > 0;",
    test: OWNERSHIP,
    match: "half the instances cut*",
  },
  {
    name: "a successor does not fence while its promise stands",
    file: "ownership/promises.js",
    find: "return now > startupWait && now > (promises.until.get(holder) ?? startupWait);",
    replace: "return true;",
    test: OWNERSHIP,
    match: "every group gets one holder*",
  },
  {
    name: "the ledger refuses a grant that does not fit",
    file: "placement/ledger.js",
    find: "if (!fits(attempt.demand, freeOf(worker))) {",
    replace: "if (false) {",
    test: "unit/placement.test.js",
    match: "the ledger refuses*",
  },
  {
    name: "an attempt in doubt is settled before its task starts again",
    file: "controllers/dispatcher.js",
    find: 'tracker.update(attempt, { phase: "in-doubt" });',
    replace:
      "{ tracker.forget(attempt); ports.onNeverStarted(attempts.find(entry => entry.attempt === attempt)); }",
    test: OWNERSHIP,
    match: "a placement whose reply*",
  },
  {
    name: "a new home starts nothing of an earlier one before all owners have told",
    file: "controllers/jobrecovery.js",
    find: "if (unproved.size > 0)",
    replace: "if (false)",
    test: OWNERSHIP,
    match: "a home that dies*",
  },
  {
    name: "what is not heard counts as running until its leases have lapsed",
    file: "controllers/workerlink.js",
    find: "if (lapsed || clock.now() <= (heardAt ?? openedAt) + stretched(TASK_LEASE_MS))",
    replace: "if (lapsed || clock.now() <= (heardAt ?? openedAt) + 1500)",
    test: OWNERSHIP,
    match: "a worker that answers nobody*",
  },
  {
    name: "at-most-once work is marked before it may start",
    file: "controllers/jobhome.js",
    find: 'const steps = items.map(item => ({ type: "may-start", job: item.job, tasks: [item.task] }));',
    replace: "const steps = [];",
    test: OWNERSHIP,
    match: "work that may run at most once*",
  },
  {
    name: "a journal's number is written once",
    file: "controllers/journal.js",
    find: "if (!(result.error instanceof VersionConflict))",
    replace:
      "if (result.error instanceof VersionConflict) return ok(true);\n        if (!(result.error instanceof VersionConflict))",
    test: "unit/journal.test.js",
    match: "steps are durable*",
  },
  {
    name: "the number in force never goes down",
    file: "controllers/configuration.js",
    find: "if (accepted.number <= newestNumber())",
    replace: "if (accepted.number === newestNumber())",
    test: "unit/configuration.test.js",
    match: "a store that answers with an older*",
  },
  {
    name: "a cancelled task is not said not to have run without proof",
    file: "controllers/jobhome.js",
    find: 'return unproved.has(name) && !isProvedFresh ? "unproved" : "none";',
    replace: 'return "none";',
    test: OWNERSHIP,
    match: "after a home has died*",
  },
  {
    name: "a document that makes the first data centres worse is held back",
    file: "controllers/configuration.js",
    find: 'objection(pending) === ""',
    replace: "true",
    test: "unit/configuration.test.js",
    match: "a staged document that makes*",
  },
  {
    name: "a document is accepted only on the number that was looked at",
    file: "controllers/configuration.js",
    find: "if (stored && stored.number !== proposal.baseNumber)",
    replace: "if (false)",
    test: "golden/operators.test.js",
    match: "an operator's session*",
  },
  {
    name: "a cut answer is not passed off as whole",
    file: "filters/forward.js",
    find: 'exchange.execution = "ran";\n            outgoing.destroy();',
    replace: 'exchange.execution = "ran";\n            outgoing.end(Buffer.alloc(30000));',
    test: ANSWERS,
    match: "an answer that is cut*",
  },
  {
    name: "only what is proved not run, or idempotent, is sent again",
    file: "filters/forward.js",
    find: 'const repeatable = idempotent || result.type === "not-run";',
    replace: "const repeatable = true;",
    test: ANSWERS,
    match: "a server that dies*",
  },
  {
    name: "a repeated key does not run again",
    file: "routing/keyregistry.js",
    find: "if (known)\n                return verdictOn(known, request, now);",
    replace: "",
    test: ANSWERS,
    match: "a keyed request runs once*",
  },
  {
    name: "a key that cannot be vouched for is not run",
    file: "routing/keyregistry.js",
    find: "if (issuedAt < vouched)",
    replace: "if (false)",
    test: ANSWERS,
    match: "a key older*",
  },
  {
    name: "silence of a connection is looked for",
    file: "controllers/silence.js",
    find: "const dead = Math.max(0, still.length - health.value.inHand);",
    replace: "const dead = 0;",
    test: ANSWERS,
    match: "a connection that goes silent*",
  },
  {
    name: "a server that says it is leaving is closed",
    file: "controllers/slotlender.js",
    find: "if (health.value.leaving)",
    replace: "if (false)",
    test: ANSWERS,
    match: "a backend server that says*",
  },
  {
    name: "the slot ledger refuses a loan beyond what the server has",
    file: "routing/slotledger.js",
    find: "if (lentCount(server) + server.inDoubt + step.count > server.slots) {",
    replace: "if (false) {",
    test: "unit/routing.test.js",
    match: "slots of a borrower*",
  },
  {
    name: "paths that resolve elsewhere are refused",
    file: "filters/hygiene.js",
    find: "if (path.length > LARGEST_PATH || isAmbiguous(path)) {",
    replace: "if (false) {",
    test: ANSWERS,
    match: "requests that servers could read*",
  },
]
