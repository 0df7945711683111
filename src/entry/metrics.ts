/** Sends the metrics of one instance to a StatsD server, if the settings name one. */
import {StatsD} from "hot-shots"

export interface Metrics {
  readonly count: (name: string, value: number, tags: Readonly<Record<string, string>>) => void
  readonly timing: (name: string, milliseconds: number, tags: Readonly<Record<string, string>>) => void
  readonly gauge: (name: string, value: number) => void
  readonly close: () => void
}

const NO_METRICS: Metrics = {
  count: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
  close: () => undefined,
}

/** Creates the metrics of an instance. With an empty address nothing is sent. */
export function createMetrics(address: string, instance: string): Metrics {
  if (address === "") return NO_METRICS
  const separator = address.lastIndexOf(":")
  const client = new StatsD({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    prefix: "lacewingstream.",
    globalTags: {instance},
    errorHandler: () => undefined,
  })
  return {
    count: (name, value, tags) => client.increment(name, value, {...tags}),
    timing: (name, milliseconds, tags) => client.timing(name, milliseconds, {...tags}),
    gauge: (name, value) => client.gauge(name, value),
    close: () => client.close(() => undefined),
  }
}
