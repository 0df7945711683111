/**
 * Holds the operator's configuration that is in force in this process, as read from the store. A configuration with a
 * lower version never replaces one with a higher version.
 */
import type {Logger} from "../core/logger.js"
import type {FleetConfiguration} from "../pipelines/model.js"
import type {FleetReader, KeyChange, StoredItem} from "../pipelines/ports.js"

export interface ConfigurationHolder {
  readonly current: () => FleetConfiguration | undefined
  /** Takes the configuration from a list of store items. */
  readonly onList: (items: readonly StoredItem[]) => void
  /** Takes the configuration from changes of store keys. */
  readonly onChanges: (changes: readonly KeyChange[]) => void
}

export function createConfigurationHolder(
  reader: FleetReader,
  log: Logger,
  onChange: () => void,
): ConfigurationHolder {
  let current: FleetConfiguration | undefined

  function apply(key: string, value: string | undefined): void {
    if (key !== reader.configurationKey || value === undefined) return
    const next = reader.decodeConfiguration(value)
    if (!next) {
      log.error(
        {event: "configuration-unreadable"},
        "cannot parse the configuration in the store; keeping the current one",
      )
      return
    }
    if (current && next.version <= current.version) return
    current = next
    log.info(
      {event: "configuration", version: next.version, queues: next.queues.length},
      "a new configuration is in force",
    )
    onChange()
  }

  return {
    current: () => current,
    onList: items => items.forEach(item => apply(item.key, item.value)),
    onChanges: changes => changes.forEach(change => apply(change.key, change.value)),
  }
}
