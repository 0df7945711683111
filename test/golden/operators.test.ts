/**
 * Snapshot tests of what operators see: the commands for documents, faults in settings, and the report made from
 * decision logs. Property tests of the readers of documents, settings, logs and job requests.
 */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import test from "ava"
import fc from "fast-check"
import {apiClient} from "../../src/cli/client.js"
import {
  checkDocument,
  diffFiles,
  printHistory,
  promoteDocument,
  tryDocument,
} from "../../src/cli/documents.js"
import type {Output} from "../../src/cli/output.js"
import {readDocument} from "../../src/document/read.js"
import {readJobRequest} from "../../src/jobs/request.js"
import {parseLog} from "../../src/report/records.js"
import {renderReport} from "../../src/report/html.js"
import {summarize} from "../../src/report/summary.js"
import {readSettings} from "../../src/settings/settings.js"
import {DOCUMENT, startEntryFixture, OPERATOR_KEY} from "../support/sockets.js"

function createRecordedOutput(folder: string) {
  const lines: string[] = []
  const replaceVariableParts = (text: string): string =>
    text
      .replaceAll(`${folder}/`, "")
      .replaceAll(/[0-9a-f]{64}/g, "DIGEST")
      .replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, "TIME")
      .replaceAll(/ {2}[0-9a-f]{12} {2}/g, "  DIGEST  ")
  const output: Output = {
    line: text => lines.push(replaceVariableParts(text)),
    error: text => lines.push(`! ${replaceVariableParts(text)}`),
  }
  return {lines, output}
}

test("an operator's session: check, try, promote, a lost race, history", async t => {
  const bench = await startEntryFixture()
  t.teardown(bench.close)
  const folder = mkdtempSync(join(tmpdir(), "lacewingstream-"))
  t.teardown(() => rmSync(folder, {recursive: true}))
  const writeFile = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text)
    return join(folder, name)
  }
  const good = writeFile("good.ini", DOCUMENT.replace("queue = 30", "queue = 40"))
  const competing = writeFile(
    "rival.ini",
    DOCUMENT.replace("queue = 30", "queue = 50").replace("deadline = 3s", "deadline = 4s"),
  )
  const bad = writeFile(
    "bad.ini",
    DOCUMENT.replace("queue = 30", "queue = many\ncolour = red").replace(
      "pool = crease\nqueue",
      "pools = crease\nqueue",
    ),
  )
  const removed = writeFile(
    "removed.ini",
    DOCUMENT.replace(/\[workload[^[]*/, "").replace("[service.crease]", "[service.other]"),
  )
  const {lines, output} = createRecordedOutput(folder)
  const client = apiClient(bench.address, OPERATOR_KEY)
  const options = {json: false, operator: "ana"}
  lines.push(
    "# check",
    String(checkDocument(good, options, output)),
    String(checkDocument(bad, options, output)),
  )
  lines.push("# diff", String(diffFiles(good, competing, options, output)))
  lines.push(
    "# try",
    String(await tryDocument(good, client, options, output)),
    String(await tryDocument(removed, client, options, output)),
  )
  lines.push("# promote", String(await promoteDocument(good, client, client, options, output)))
  lines.push(String(await promoteDocument(good, client, undefined, options, output)))
  lines.push(
    String(
      await promoteDocument(competing, client, undefined, {...options, operator: "ben", base: 1}, output),
    ),
  )
  lines.push(String(await promoteDocument(bad, client, undefined, options, output)))
  lines.push(
    "# without a key",
    String(await promoteDocument(good, apiClient(bench.address, "wrong"), undefined, options, output)),
  )
  lines.push("# history", String(await printHistory(client, options, output)))
  t.snapshot(lines)
})

test("settings with faults are refused with the place of each", t => {
  const text =
    "[instance]\nname = a\nsuccessors = 9\n[callers]\naddress = localhost:80\ntls = on\n[peers]\naddress = 1.2.3.4:1\n[platform]\nstore = x\n[operators]\nkey = short\n[colour]\n"
  const read = readSettings("entry.ini", text)
  t.snapshot(read.isErr() ? read.error : read.value)
})

test("no text crashes the readers of documents, settings and logs, and each finding has a place", t => {
  const lines = fc.array(
    fc.oneof(
      fc.string(),
      fc.constantFrom(...DOCUMENT.split("\n")),
      fc.constantFrom("[a.b.c]", "__proto__ = 1", "[__proto__]", "x = [y", "= z", "[constructor.prototype]"),
    ),
    {maxLength: 30},
  )
  fc.assert(
    fc.property(lines, parts => {
      const text = parts.join("\n")
      for (const read of [readDocument("file", text), readSettings("file", text)]) {
        if (read.isErr())
          for (const finding of read.error)
            t.true(finding.file === "file" && finding.problem !== "" && finding.remedy !== "")
      }
      parseLog(text)
    }),
    {seed: 61, numRuns: 300},
  )
})

test("no JSON value crashes the reader of job requests", t => {
  const document = readDocument("document", DOCUMENT)
  t.true(document.isOk())
  if (document.isErr()) return
  fc.assert(
    fc.property(fc.jsonValue(), value => {
      const read = readJobRequest(value, "0-a", document.value, 0)
      if (read.isErr()) for (const finding of read.error) t.is(typeof finding.pointer, "string")
    }),
    {seed: 62, numRuns: 300},
  )
})

test("a report is made from decision logs", t => {
  const log = [
    {time: 1000, event: "routing", request: "r1", lane: "short"},
    {time: 1010, event: "request-ended", request: "r1", service: "web", execution: "ran", took: 10},
    {time: 1500, event: "request-ended", request: "r2", service: "web", execution: "not-run", took: 1},
    {time: 2000, event: "placement", attempt: "0-a.0.1-1", job: "0-a", worker: "w1", result: "started"},
    {time: 2100, event: "placement", attempt: "0-a.0.1-2", job: "0-a", worker: "w2", result: "started"},
    {time: 2500, event: "attempt-ended", attempt: "0-a.0.1-1", outcome: "succeeded"},
  ]
  const summary = summarize(parseLog(`${log.map(entry => JSON.stringify(entry)).join("\n")}\nnot json\n`))
  t.snapshot(summary)
  t.true(renderReport(summary).includes("<svg"))
})
