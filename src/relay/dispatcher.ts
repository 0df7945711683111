/**
 * The leader's side of the relays. It implements `WorkerCalls` by sending each call through the relay of the worker, or
 * directly where there is none. A relay that shows no sign of life is given up, and its workers move to other relays;
 * whether its open calls were carried out is then unknown, as after any lost answer.
 */
import {err, ok} from "neverthrow"
import type {Result} from "neverthrow"
import type {Clock, Milliseconds} from "../core/clock.js"
import {CallFailed} from "../core/errors.js"
import type {Logger} from "../core/logger.js"
import type {Member} from "../peer/fleet.js"
import type {
  CommandAnswer,
  ReportAnswer,
  ReportRequest,
  WorkerCalls,
  WorkerTarget,
} from "../pipelines/ports.js"
import type {
  AnswerBatch,
  OpenChannel,
  RelayChannel,
  RelayedCall,
  RelayedOrder,
  RelayedResult,
} from "./channel.js"
import {SILENCE_TIMEOUT_MS} from "./carrier.js"
import {chooseRelays, countRelays, relayOf} from "./selection.js"

/** Calls are collected for this long, so that those of one scheduling pass share messages. */
const BATCH_MS: Milliseconds = 4
/** A relay whose first sign of life takes longer is not used. Calls to its workers wait for that long. */
const OPENING_TIMEOUT_MS: Milliseconds = 400
/** How long a worker is not called through an instance that could not reach it. */
const AVOID_ROUTE_MS: Milliseconds = 10_000
/** How long an instance is not tried again after its channel has closed. */
const AVOID_AFTER_CLOSE_MS: Milliseconds = 2000

/** Stands for this instance in the choice of a relay. */
const DIRECT_NAME = ""
const NONE: ReadonlySet<string> = new Set()

export interface RelayDispatcherPorts {
  readonly clock: Clock
  readonly log: Logger
  readonly term: number
  /** Calls workers from this instance. */
  readonly direct: WorkerCalls
  readonly open: OpenChannel
  /** Other instances that are up. */
  readonly candidates: () => readonly Member[]
  readonly countWorkers: () => number
}

export interface RelayDispatcher {
  readonly calls: WorkerCalls
  /** Opens missing channels and closes silent ones. Called at a fixed interval. */
  readonly check: () => void
  /** Drops what is remembered of a worker that is gone. */
  readonly forget: (worker: string) => void
  readonly countRelays: () => number
  readonly close: () => void
}

interface Session {
  readonly member: Member
  state: "opening" | "open" | "leaving" | "closed"
  channel: RelayChannel | undefined
  /** Calls that have not been sent. */
  outbox: RelayedCall[]
  readonly pending: Map<number, (result: RelayedResult) => void>
  isFlushScheduled: boolean
  heardAt: Milliseconds
  /** The last check found the relay silent for too long. */
  isSuspected: boolean
}

/** The relays through which a worker could not be reached lately. */
interface FailedRoutes {
  readonly names: Set<string>
  readonly since: Milliseconds
}

export function createRelayDispatcher(ports: RelayDispatcherPorts): RelayDispatcher {
  const {clock, log, term, direct, candidates, countWorkers} = ports
  const sessions = new Map<string, Session>()
  const avoidedUntil = new Map<string, Milliseconds>()
  /** The present relay of each worker; emptied when relays come or go. */
  const routes = new Map<string, Session | "direct">()
  const failedRoutes = new Map<string, FailedRoutes>()
  let lastId = 0
  let isClosed = false

  function usableNames(): readonly string[] {
    return [...sessions.values()]
      .filter(({state}) => state === "opening" || state === "open")
      .map(({member}) => member.name)
  }

  /** Workers are called through their first relay again some time after a failure. */
  function forgetOldFailures(): void {
    const now = clock.now()
    for (const [worker, {since}] of failedRoutes) {
      if (now - since < AVOID_ROUTE_MS) continue
      failedRoutes.delete(worker)
      routes.delete(worker)
    }
  }

  /** The worker did not answer a report call through the relay; another relay may still reach it. */
  function recordFailure(worker: string, {state, member}: Session): void {
    if (state === "closed") return
    const failed = failedRoutes.get(worker) ?? {names: new Set<string>(), since: clock.now()}
    failedRoutes.set(worker, failed)
    failed.names.add(member.name)
    routes.delete(worker)
  }

  function routeOf(worker: string): Session | "direct" {
    const known = routes.get(worker)
    if (known) return known
    const relays = usableNames()
    const isShort = relays.length < countRelays(countWorkers()) / 2
    const name = relayOf(
      worker,
      isShort ? [...relays, DIRECT_NAME] : relays,
      failedRoutes.get(worker)?.names ?? NONE,
    )
    const route = name === undefined ? "direct" : (sessions.get(name) ?? "direct")
    routes.set(worker, route)
    return route
  }

  function closeSession(session: Session, reason: string): void {
    if (session.state === "closed") return
    const wasOpen = session.state !== "opening"
    session.state = "closed"
    const {name} = session.member
    sessions.delete(name)
    routes.clear()
    avoidedUntil.set(name, clock.now() + AVOID_AFTER_CLOSE_MS)
    if (!isClosed)
      log.info({event: "relay-closed", term, relay: name, wasOpen, reason}, "a relay is not used any more")
    session.channel?.close()
    const unsent = new Set(session.outbox.map(({id}) => id))
    session.outbox = []
    for (const [id, settle] of session.pending) settle({type: "failure", reason, isUnsent: unsent.has(id)})
    session.pending.clear()
  }

  function handleBatch(session: Session, {answers, isLeaving}: AnswerBatch): void {
    if (session.state === "closed") return
    session.heardAt = clock.now()
    session.isSuspected = false
    if (session.state === "opening") {
      session.state = "open"
      log.info(
        {event: "relay-opened", term, relay: session.member.name},
        "an instance carries calls to workers",
      )
      flush(session)
    }
    for (const {id, result} of answers) {
      const settle = session.pending.get(id)
      session.pending.delete(id)
      settle?.(result)
    }
    if (!isLeaving) return
    if (session.state === "open") {
      session.state = "leaving"
      routes.clear()
    }
    if (session.pending.size === 0) closeSession(session, "the instance stops")
  }

  function openSession(member: Member): void {
    const session: Session = {
      member,
      state: "opening",
      channel: undefined,
      outbox: [],
      pending: new Map(),
      isFlushScheduled: false,
      heardAt: clock.now(),
      isSuspected: false,
    }
    sessions.set(member.name, session)
    routes.clear()
    session.channel = ports.open(member, term, {
      onBatch: batch => handleBatch(session, batch),
      onClosed: reason => closeSession(session, reason),
    })
  }

  function flush(session: Session): void {
    session.isFlushScheduled = false
    if (session.state === "opening" || session.state === "closed" || session.outbox.length === 0) return
    const calls = session.outbox
    session.outbox = []
    session.channel?.send(calls)
  }

  function send(session: Session, target: WorkerTarget, order: RelayedOrder): Promise<RelayedResult> {
    lastId = (lastId + 1) % 2 ** 32
    const id = lastId
    return new Promise(resolve => {
      session.pending.set(id, resolve)
      session.outbox.push({id, target, order})
      if (session.isFlushScheduled) return
      session.isFlushScheduled = true
      clock.after(BATCH_MS, () => flush(session))
    })
  }

  function toCallFailed({member}: Session, result: RelayedResult): CallFailed {
    if (result.type !== "failure")
      return new CallFailed(member.name, "unexpected answer of a relay", "unknown")
    return new CallFailed(member.name, result.reason, result.isUnsent ? "not-run" : "unknown")
  }

  async function sendCommand(
    session: Session,
    target: WorkerTarget,
    order: RelayedOrder,
  ): Promise<Result<CommandAnswer, CallFailed>> {
    const result = await send(session, target, order)
    return result.type === "command" ? ok(result.answer) : err(toCallFailed(session, result))
  }

  async function report(
    target: WorkerTarget,
    request: ReportRequest,
  ): Promise<Result<ReportAnswer, CallFailed>> {
    const route = routeOf(target.id)
    if (route === "direct") return direct.report(target, request)
    const result = await send(route, target, {type: "report", request})
    if (result.type !== "report") {
      recordFailure(target.id, route)
      return err(toCallFailed(route, result))
    }
    return ok(result.answer)
  }

  const calls: WorkerCalls = {
    report,
    async start(target, order) {
      const route = routeOf(target.id)
      if (route === "direct") return direct.start(target, order)
      const result = await send(route, target, {type: "start", order})
      return result.type === "start" ? ok(result.answer) : err(toCallFailed(route, result))
    },
    async stop(target, task, attempt) {
      const route = routeOf(target.id)
      if (route === "direct") return direct.stop(target, task, attempt, term)
      return sendCommand(route, target, {type: "stop", task, attempt})
    },
    async throttle(target, task, attempt, percent) {
      const route = routeOf(target.id)
      if (route === "direct") return direct.throttle(target, task, attempt, percent, term)
      return sendCommand(route, target, {type: "throttle", task, attempt, percent})
    },
  }

  /** Closes channels that two checks have found silent: a busy leader reads what relays have sent in between. */
  function closeSilentSessions(): void {
    const now = clock.now()
    for (const session of [...sessions.values()]) {
      const limit = session.state === "opening" ? OPENING_TIMEOUT_MS : SILENCE_TIMEOUT_MS
      if (now - session.heardAt < limit) continue
      if (session.isSuspected) closeSession(session, `no sign of life for ${limit} ms`)
      else session.isSuspected = true
    }
  }

  function openMissingSessions(): void {
    const wanted = countRelays(countWorkers())
    const missing = wanted - usableNames().length
    if (missing <= 0) return
    const now = clock.now()
    const available = candidates().filter(({name}) => (avoidedUntil.get(name) ?? 0) <= now)
    const unused = chooseRelays(available, wanted).filter(({name}) => !sessions.has(name))
    for (const member of unused.slice(0, missing)) openSession(member)
  }

  return {
    calls,
    check() {
      if (isClosed) return
      forgetOldFailures()
      closeSilentSessions()
      openMissingSessions()
    },
    forget(worker) {
      routes.delete(worker)
      failedRoutes.delete(worker)
    },
    countRelays: () => usableNames().length,
    close() {
      isClosed = true
      for (const session of [...sessions.values()]) closeSession(session, "the term has ended")
    },
  }
}
