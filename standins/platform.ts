/**
 * `npm run platform`: the platform's stand-ins alone, on fixed loopback ports, with a settings file for each entry
 * instance, so that the instances can be run as processes of their own.
 */
import {mkdirSync, writeFileSync} from "node:fs"
import {join} from "node:path"
import {Command, InvalidArgumentError} from "commander"
import {systemClock} from "../src/core/clock.js"
import {serveBalancer} from "./balancer.js"
import {DEPLOYMENTS} from "./deployments.js"
import {instanceListCore, serveInstanceList} from "./instancelistserver.js"
import {serveStore} from "./storeserver.js"
import {entryLine, startPools} from "./trial.js"
import {truthRecord} from "./truth.js"

interface PlatformOptions {
  readonly environment: string
  readonly entries: number
  readonly port: number
  readonly folder: string
  readonly seconds: number
}

const LIST_LAG_MS = 1000
const STORE_OFFSET = 1
const LIST_OFFSET = 2
const FIRST_CALLER_OFFSET = 10
const FIRST_PEER_OFFSET = 40

function wholeNumber(text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError("Give a whole number.")
  return Number(text)
}

function settingsText(name: string, dataCentre: string, port: number, index: number): string {
  return `[instance]
name = ${name}
data_centre = ${dataCentre}

[callers]
address = 127.0.0.1:${port + FIRST_CALLER_OFFSET + index}

[peers]
address = 127.0.0.1:${port + FIRST_PEER_OFFSET + index}

[platform]
store = 127.0.0.1:${port + STORE_OFFSET}
instance_list = 127.0.0.1:${port + LIST_OFFSET}

[operators]
key = trial-operator-key-0001
`
}

const program = new Command("platform")
  .description("Runs the platform's stand-ins and writes settings for entry instances.")
  .option("--environment <name>", "foldwind or korkkreis", "foldwind")
  .option("--entries <number>", "entry instances to write settings for", wholeNumber, 3)
  .option("--port <number>", "port of the balancer; the others follow it", wholeNumber, 7300)
  .option("--folder <path>", "where to write the settings", "trial-settings")
  .option("--seconds <number>", "how long to run", wholeNumber, 600)
  .parse()

const options = program.opts<PlatformOptions>()
const deployment = DEPLOYMENTS[options.environment]
if (!deployment) program.error(`There is no environment "${options.environment}".`)
else {
  const clock = systemClock()
  const list = instanceListCore(clock, LIST_LAG_MS)
  const hosts = await startPools(deployment, clock, truthRecord())
  for (const entry of hosts.listed) list.put(entry)
  await serveStore(clock, options.port + STORE_OFFSET)
  await serveInstanceList(list, options.port + LIST_OFFSET)
  const balancer = await serveBalancer(clock, options.port)
  mkdirSync(options.folder, {recursive: true})
  const addresses: string[] = []
  for (let index = 0; index < options.entries; index += 1) {
    const name = `entry-${index + 1}`
    const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length] ?? ""
    writeFileSync(join(options.folder, `${name}.ini`), settingsText(name, dataCentre, options.port, index))
    list.put(entryLine(name, dataCentre, `127.0.0.1:${options.port + FIRST_PEER_OFFSET + index}`))
    addresses.push(`127.0.0.1:${options.port + FIRST_CALLER_OFFSET + index}`)
  }
  list.settle()
  balancer.setTargets(addresses)
  process.stdout.write(
    `balancer on ${balancer.address}; settings in ${options.folder}/; runs for ${options.seconds} s\n`,
  )
  setTimeout(() => process.exit(), options.seconds * 1000)
  process.on("SIGTERM", () => process.exit())
}
