/** Renders benchmark results as text tables and as HTML. */
import {htmlPage, htmlTable} from "../src/report/html.js"
import {linePlot} from "../src/report/plot.js"
import type {CapacityResults} from "./capacity.js"
import type {PlacementResults, PlacementRow} from "./placement.js"
import type {RequestResults} from "./requests.js"
import type {TakeoverResults} from "./takeover.js"

export type Cell = string | number

/** A table for a terminal: the first column to the left, the others to the right. */
export function textTable(heads: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const all = [heads, ...rows.map(row => row.map(String))]
  const widths = heads.map((_, column) => Math.max(...all.map(row => row[column]?.length ?? 0)))
  const line = (row: readonly string[]): string =>
    row
      .map((cell, column) =>
        column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0),
      )
      .join("  ")
  return all.map(line).join("\n")
}

const PLACEMENT_HEADS = [
  "trace, scheduler",
  "short p50",
  "short p99",
  "urgent p99",
  "crest p50",
  "crest p99",
  "crest p99.9",
  "long p99",
  "packing",
  "moved",
  "messages",
  "conflicts",
  "us/start",
]

function placementCells(row: PlacementRow): readonly Cell[] {
  return [
    `${row.trace}, ${row.scheduler}`,
    row.short.p50.toFixed(0),
    row.short.p99.toFixed(0),
    row.urgent.p99.toFixed(0),
    row.crest.p50.toFixed(0),
    row.crest.p99.toFixed(0),
    row.crest.p999.toFixed(0),
    row.long.p99.toFixed(0),
    `${(row.packing * 100).toFixed(1)}%`,
    row.preemptions,
    row.messagesPerStart.toFixed(2),
    row.conflictShare.toFixed(3),
    row.cpuPerStart.toFixed(0),
  ]
}

const DECISION_HEADS = [
  "workers, running",
  "plan p50 us",
  "plan p99 us",
  "fit p50 us",
  "fit p99 us",
  "placements/s",
]

function decisionCells(results: PlacementResults): readonly (readonly Cell[])[] {
  return results.decisions.map(({workers, running, plan, fit, placementsPerSecond}) => [
    `${workers}, ${running}`,
    plan.p50.toFixed(1),
    plan.p99.toFixed(1),
    fit.p50.toFixed(1),
    fit.p99.toFixed(1),
    placementsPerSecond.toFixed(0),
  ])
}

function ratioCells(results: PlacementResults): readonly (readonly Cell[])[] {
  return results.shortBehindLong.map(({trace, scheduler, ratio}) => [
    `${trace}, ${scheduler}`,
    ratio.toFixed(2),
  ])
}

const RATIO_HEADS = ["trace, scheduler", "short p99 with long / without"]

export function textPlacement(results: PlacementResults): string {
  return [
    "Waits in milliseconds",
    textTable(PLACEMENT_HEADS, results.rows.map(placementCells)),
    "",
    textTable(RATIO_HEADS, ratioCells(results)),
    "",
    textTable(DECISION_HEADS, decisionCells(results)),
  ].join("\n")
}

/** The share of waits at the crest that are at most as long as each value. */
function cumulative(waits: readonly number[]): readonly (readonly [number, number])[] {
  const sorted = [...waits].sort((one, other) => one - other)
  const steps = 100
  return Array.from({length: steps + 1}, (_, step) => {
    const index = Math.min(sorted.length - 1, Math.floor((sorted.length * step) / steps))
    return [sorted[index] ?? 0, step] as const
  })
}

export function renderPlacement(results: PlacementResults): string {
  const traces = [...new Set(results.rows.map(row => row.trace))]
  const plots = traces.map(trace => {
    const rows = results.rows.filter(row => row.trace === trace)
    const series = rows.map(row => ({name: row.scheduler, points: cumulative(row.waitsAtCrest)}))
    return linePlot(
      `${trace}: waits at the crest`,
      "milliseconds",
      "percent of tasks that waited no longer",
      series,
    )
  })
  const body = `<h1>Placement</h1><p>Waits in milliseconds.</p>${htmlTable(PLACEMENT_HEADS, results.rows.map(placementCells))}
<h2>Short work beside long</h2>${htmlTable(RATIO_HEADS, ratioCells(results))}
<h2>Decision time</h2>${htmlTable(DECISION_HEADS, decisionCells(results))}${plots.join("")}`
  return htmlPage("Placement", body)
}

function timeCells(
  name: string,
  values: {readonly p50: number; readonly p99: number; readonly p999: number},
): readonly Cell[] {
  return [name, values.p50.toFixed(2), values.p99.toFixed(2), values.p999.toFixed(2)]
}

export function textRequests(results: RequestResults): string {
  const {direct, through, crest, shortAlone, shortBesideLong} = results
  return [
    textTable(
      ["milliseconds", "p50", "p99", "p99.9"],
      [
        timeCells("direct call", direct),
        timeCells("through the instance", through),
        timeCells("crest, 4000 in a second", crest.time),
        timeCells("short work alone", shortAlone),
        timeCells("short work beside 100 long", shortBesideLong),
      ],
    ),
    "",
    `added at the median      ${results.addedMedian.toFixed(2)} ms`,
    `requests a second        ${results.requestsPerSecond.toFixed(0)}`,
    `for a core fully used    ${results.requestsPerCoreSecond.toFixed(0)}`,
    `answered at the crest    ${crest.answered} of ${crest.asked}`,
    `short p99 beside long    ${(shortBesideLong.p99 / shortAlone.p99).toFixed(2)} times that alone`,
    `memory an open request   ${(results.memoryPerOpenRequest / 1024).toFixed(1)} KiB`,
  ].join("\n")
}

export function textCapacity(results: CapacityResults): string {
  const members = results.membership.map(row => [
    row.members,
    row.bytesPerSecond.toFixed(0),
    `${(row.processorShare * 100).toFixed(3)}%`,
    row.oldest.toFixed(1),
    row.wronglySuspected.toFixed(2),
  ])
  return [
    textTable(["members", "B/s each", "core each", "oldest s", "wrongly suspected"], members),
    "",
    textTable(
      ["role", "quantity", "slope", "at the target", "budget", "met"],
      results.rows.map(row => [row.role, row.quantity, row.slope, row.atTarget, row.budget, row.met]),
    ),
  ].join("\n")
}

export function textTakeover(results: readonly TakeoverResults[]): string {
  const rows = results.map(({instances, groupsHeld, firstStart, storeCallsAtRest}) => [
    instances,
    groupsHeld.p50,
    groupsHeld.p99,
    firstStart.p50,
    firstStart.p99,
    storeCallsAtRest.toFixed(1),
  ])
  const heads = [
    "instances",
    "groups held p50 ms",
    "most",
    "first start p50 ms",
    "most",
    "store calls/s at rest",
  ]
  return textTable(heads, rows)
}
