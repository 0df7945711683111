/** The operator's configuration that is in force in this process. It never goes back to a lower version. */
import type {Logger} from "../core/logger.js"
import type {FleetConfiguration} from "../pipelines/model.js"
import type {FleetReader, KeyChange, StoredItem} from "../pipelines/ports.js"

export interface ConfigurationHolder {
  readonly current: () => FleetConfiguration | undefined
  readonly onList: (items: readonly StoredItem[]) => void
  readonly onChanges: (changes: readonly KeyChange[]) => void
}

export function createConfigurationHolder(
  reader: FleetReader,
  log: Logger,
  onChange: () => void,
): ConfigurationHolder {
  let current: FleetConfiguration | undefined

  function take(key: string, value: string | undefined): void {
    if (key !== reader.configurationKey || value === undefined) return
    const next = reader.decodeConfiguration(value)
    if (!next) {
      log.error({event: "configuration-unreadable"}, "a configuration cannot be read; the present one stays")
      return
    }
    if (current && next.version <= current.version) return
    current = next
    log.info(
      {event: "configuration", version: next.version, queues: next.queues.length},
      "a configuration is in force",
    )
    onChange()
  }

  return {
    current: () => current,
    onList: items => items.forEach(item => take(item.key, item.value)),
    onChanges: changes => changes.forEach(change => take(change.key, change.value)),
  }
}
