/** Renders the read-only status page of one instance. The page needs no script and fits the width of a phone. */
import {html, raw} from "hono/html"
import type {HtmlEscapedString} from "hono/utils/html"
import type {InstanceStatus, WorkerGroupStatus} from "./status.js"

type Html = HtmlEscapedString | Promise<HtmlEscapedString>

const STYLE = `
:root{color-scheme:light dark;--line:#8884}
body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;max-width:70rem;padding:1rem}
h1{font-size:1.4rem;margin:.2rem 0}h2{font-size:1.1rem;margin:1.4rem 0 .4rem}
.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.25rem .6rem;border-bottom:1px solid var(--line);white-space:nowrap}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}
.finding{border-left:4px solid #c60;padding:.2rem .6rem;margin:.4rem 0}
.good{border-left:4px solid #2a7;padding:.2rem .6rem;margin:.4rem 0}
meter{width:6rem}`

function renderTable(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): Html {
  const cell = (value: string | number): Html =>
    typeof value === "number" ? html`<td class="n">${value}</td>` : html`<td>${value}</td>`
  if (rows.length === 0) return html`<p>None.</p>`
  return html`<div class="scroll">
    <table>
      <thead>
        <tr>
          ${headings.map((heading, column) => (typeof rows[0]?.[column] === "number" ? html`<th class="n" scope="col">${heading}</th>` : html`<th scope="col">${heading}</th>`))}
        </tr>
      </thead>
      <tbody>
        ${rows.map(
          row =>
            html`<tr>
              ${row.map(cell)}
            </tr>`,
        )}
      </tbody>
    </table>
  </div>`
}

function renderFindings(status: InstanceStatus): Html {
  if (status.findings.length === 0) return html`<p class="good">No findings.</p>`
  return html`${status.findings.map(finding => html`<p class="finding">${finding}</p>`)}`
}

function renderWorkerGroup(group: WorkerGroupStatus): Html {
  const rows = group.workers.map(worker => [
    worker.worker,
    worker.open ? "open" : "closed",
    worker.tasks,
    `${worker.usedProcessors.toFixed(1)} / ${worker.processors}`,
    `${Math.round(worker.usedMemoryMebibytes / 1024)} / ${Math.round(worker.memoryMebibytes / 1024)}`,
    `${worker.usedAccelerators} / ${worker.accelerators}`,
  ])
  return html`<h3>
      ${group.group}
      <small
        >epoch ${group.epoch}, ${group.settled ? "settled" : "recovering"}, ${group.waiting} waiting</small
      >
    </h3>
    ${renderTable(["worker", "state", "tasks", "processors", "memory GiB", "accelerators"], rows)}`
}

export function renderStatusPage(status: InstanceStatus): Html {
  const members = status.members.map(member => [
    member.instance,
    member.dataCentre,
    member.status,
    member.documentNumber,
    `${(member.silentFor / 1000).toFixed(1)} s`,
  ])
  const services = status.services.map(service => [
    service.service,
    service.waiting,
    service.slotsHeld,
    service.asked,
    service.ran,
    service.notRun,
    service.unknown,
  ])
  const jobs = status.jobGroups.map(group => [
    group.group,
    group.epoch,
    group.recovered ? "recovered" : "recovering",
    group.waiting,
    group.inFlight,
    group.jobs,
  ])
  return html`<!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8" />
        <meta name="viewport" content="width=device-width,initial-scale=1" />
        <title>${status.instance} – lacewingstream</title>
        <style>
          ${raw(STYLE)}
        </style>
      </head>
      <body>
        <h1>${status.instance}</h1>
        <p>
          ${status.dataCentre}, document ${status.documentNumber},
          ${status.mayAct ? "may act" : `may not act: ${status.reasonNotToAct}`}${status.leaving ? ", leaving" : ""}
        </p>
        ${renderFindings(status)}
        <h2>Services</h2>
        ${renderTable(["service", "waiting", "slots held", "asked", "ran", "not run", "unknown"], services)}
        <h2>Job groups held</h2>
        ${renderTable(["group", "epoch", "state", "waiting", "in flight", "jobs"], jobs)}
        <h2>Workers by rack</h2>
        ${status.workerGroups.length === 0 ? html`<p>None held here.</p>` : status.workerGroups.map(renderWorkerGroup)}
        <h2>Members</h2>
        ${renderTable(["instance", "data centre", "status", "document", "heard"], members)}
        <h2>Store</h2>
        ${renderTable(["calls", "failures", "not attempted"], [[status.store.calls, status.store.failures, status.store.shed]])}
      </body>
    </html>`
}
