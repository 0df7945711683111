/** Renders the summary of decision logs as one HTML file without scripts. */
import {linePlot} from "./plot.js"
import type {Distribution, ReportSummary} from "./summary.js"

const STYLE = `:root{color-scheme:light dark}body{font:16px/1.5 system-ui,sans-serif;max-width:60rem;margin:0 auto;padding:1rem}
table{border-collapse:collapse}td,th{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #8884}th:first-child,td:first-child{text-align:left}
svg{width:100%;height:auto}figure{margin:1rem 0}.scroll{overflow-x:auto}`

export function htmlPage(title: string, body: string): string {
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1"><title>${title}</title><style>${STYLE}</style></head><body>${body}</body></html>\n`
}

export function htmlTable(heads: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const cells = (row: readonly (string | number)[], tag: string): string =>
    row.map(cell => `<${tag}>${cell}</${tag}>`).join("")
  return `<div class="scroll"><table><tr>${cells(heads, "th")}</tr>${rows.map(row => `<tr>${cells(row, "td")}</tr>`).join("")}</table></div>`
}

function formatPercentiles(values: Distribution): readonly string[] {
  return [values.p50.toFixed(1), values.p99.toFixed(1), values.p999.toFixed(1)]
}

export function renderReport(summary: ReportSummary): string {
  const {requests, tasks, crest, lanes, seconds, doubled} = summary
  const period = `${new Date(summary.from).toISOString()} to ${new Date(summary.to).toISOString()}`
  const services = requests.services.map(({service, asked, ran, notRun, unknown, time}) => [
    service,
    asked,
    ran,
    notRun,
    unknown,
    ...formatPercentiles(time),
  ])
  const plots = [
    linePlot("Requests a second", "seconds", "requests", [
      {name: "all", points: seconds.map(second => [second.second, second.requests])},
      {name: "not answered", points: seconds.map(second => [second.second, second.failed])},
    ]),
    linePlot("Task starts a second", "seconds", "starts", [
      {name: "starts", points: seconds.map(second => [second.second, second.starts])},
    ]),
  ]
  const body = `<h1>Operating record</h1><p>${period}</p>
<h2>What must not happen</h2>${htmlTable(
    ["finding", "count"],
    [
      ["tasks that ran in two places at once", doubled.length],
      ["instances fenced", summary.fenced],
      ["planned stops completed", summary.stops],
      ["preemptions", summary.preemptions],
    ],
  )}
<h2>Requests</h2>${htmlTable(["service", "asked", "ran", "not run", "unknown", "p50 ms", "p99 ms", "p99.9 ms"], services)}
<p>Busiest second: ${crest.requests} requests, ${(crest.answeredShare * 100).toFixed(2)} % answered.</p>
<h2>Short work beside long</h2>${htmlTable(
    ["lane", "requests", "p50 ms", "p99 ms", "p99.9 ms"],
    [
      ["short", lanes.short.count, ...formatPercentiles(lanes.short)],
      ["long", lanes.long.count, ...formatPercentiles(lanes.long)],
    ],
  )}
<h2>Tasks</h2><p>${tasks.started} starts; time from asking an owner to the start: p50 ${tasks.waits.p50.toFixed(1)} ms, p99 ${tasks.waits.p99.toFixed(1)} ms.</p>
${htmlTable(["outcome", "attempts"], Object.entries(tasks.outcomes))}
${plots.join("")}`
  return htmlPage("Operating record", body)
}
